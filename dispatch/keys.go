package dispatch

import (
	"strconv"
	"strings"
	"time"
)

// zeroTime marks a time that isn't set, such as the deadline of a request without one.
var zeroTime time.Time

// reservationKey returns the key of an attempt's reservation on a backend server: <request id>#<attempt>.
func reservationKey(id string, attempt int) string { return id + "#" + strconv.Itoa(attempt) }

// metricName converts a code to a metric name by replacing hyphens with underscores.
func metricName(code string) string { return strings.ReplaceAll(code, "-", "_") }
