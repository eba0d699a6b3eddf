package document

import (
	"math"
	"strconv"
	"strings"
	"time"
)

var sizeUnits = []struct {
	name  string
	bytes int64
}{
	{"TiB", 1 << 40},
	{"GiB", 1 << 30},
	{"MiB", 1 << 20},
	{"KiB", 1 << 10},
	{"B", 1},
}

// FormatSize formats a number of bytes as documents write it, such as "1MiB". It uses the largest unit that needs no
// rounding.
func FormatSize(bytes int64) string {
	for _, u := range sizeUnits {
		if bytes != 0 && bytes%u.bytes == 0 {
			return strconv.FormatInt(bytes/u.bytes, 10) + u.name
		}
	}
	return "0B"
}

// FormatDuration formats a duration as documents write it, such as "6s" or "1h", without rounding.
func FormatDuration(d time.Duration) string {
	s := d.String()
	if strings.HasSuffix(s, "m0s") {
		s = strings.TrimSuffix(s, "0s")
	}
	if strings.HasSuffix(s, "h0m") {
		s = strings.TrimSuffix(s, "0m")
	}
	return s
}

// parseSize parses a size such as "1MiB" and returns the number of bytes. It is false for any other text.
func parseSize(s string) (int64, bool) {
	for _, u := range sizeUnits {
		digits, ok := strings.CutSuffix(s, u.name)
		if !ok {
			continue
		}
		if !isDigits(digits) {
			return 0, false
		}
		n, err := strconv.ParseInt(digits, 10, 64)
		if err != nil || n > math.MaxInt64/u.bytes {
			return 0, false
		}
		return n * u.bytes, true
	}
	return 0, false
}

func isDigits(s string) bool {
	return s != "" && strings.Trim(s, "0123456789") == ""
}
