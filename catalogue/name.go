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

// ValidName reports whether s can name an entry, a team, a pool, an availability zone or a VM: 1 to 63 lower-case
// letters, digits and hyphens.
func ValidName(s string) bool {
	if s == "" || len(s) > maxNameBytes {
		return false
	}
	return !strings.ContainsFunc(s, func(r rune) bool {
		return (r < 'a' || r > 'z') && (r < '0' || r > '9') && r != '-'
	})
}

func checkName(what, s string) error {
	if ValidName(s) {
		return nil
	}
	return errors.Errorf("%s: found %s, allowed: %s", what, quote(s), nameRule)
}

// checkText accepts one line of text, because it is shown in logs and in the answers to operators.
func checkText(what, s string, empty bool) error {
	rule := fmt.Sprintf("one line of up to %d bytes", maxTextBytes)
	if (s == "" && !empty) || len(s) > maxTextBytes || strings.ContainsFunc(s, unicode.IsControl) {
		return errors.Errorf("%s: found %s, allowed: %s", what, quote(s), rule)
	}
	return nil
}

func quote(s string) string {
	if len(s) > maxTextBytes {
		s = s[:maxTextBytes]
	}
	return strconv.Quote(s)
}
