package dispatch

import (
	"strconv"
	"strings"
	"time"
)

// zeroTime stands for no time.
var zeroTime time.Time

// taskKey names an attempt among the reservations of a backend server.
func taskKey(id string, attempt int) string { return id + "#" + strconv.Itoa(attempt) }

// metricName returns a code in the form that names of metrics have.
func metricName(code string) string { return strings.ReplaceAll(code, "-", "_") }
