package catalogue

import (
	"fmt"
	"strconv"
	"strings"
	"unicode"

	"github.com/pkg/errors"
)

const (
	maxNameBytes = 63
	nameRule     = "a name of 1 to 63 lower-case letters, digits and hyphens"
)

// ValidName reports whether s is a valid name of an entry, team, pool or availability zone, or a valid VM id: 1 to 63
// lower-case letters, digits and hyphens.
func ValidName(s string) bool {
	if s == "" || len(s) > maxNameBytes {
		return false
	}
	return !strings.ContainsFunc(s, func(r rune) bool {
		return (r < 'a' || r > 'z') && (r < '0' || r > '9') && r != '-'
	})
}

// checkName returns an error that starts with the name of the field if s isn't a valid name.
func checkName(field, s string) error {
	if ValidName(s) {
		return nil
	}
	return errors.Errorf("%s: found %s, allowed: %s", field, quote(s), nameRule)
}

// checkText returns an error that starts with the name of the field if s isn't a single line of at most maxTextBytes
// bytes. The text is shown in logs and in responses to operators, which multiple lines would break up.
func checkText(field, s string, allowEmpty bool) error {
	rule := fmt.Sprintf("one line of up to %d bytes", maxTextBytes)
	if (s == "" && !allowEmpty) || len(s) > maxTextBytes || strings.ContainsFunc(s, unicode.IsControl) {
		return errors.Errorf("%s: found %s, allowed: %s", field, quote(s), rule)
	}
	return nil
}

// quote returns s in quotes, cut to maxTextBytes.
func quote(s string) string {
	if len(s) > maxTextBytes {
		s = s[:maxTextBytes]
	}
	return strconv.Quote(s)
}
