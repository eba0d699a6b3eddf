package document

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Section is a mapping of a document. Its methods return the value of a field, or the fallback if the field is absent
// or wrong. A wrong value is reported, and so is each field that no method was called for.
type Section struct {
	document *Document
	path     string
	node     *node
	asked    []string
}

// Item is one text of a list, with its place.
type Item struct {
	document *Document
	path     string
	line     int
	text     string
}

// Text returns the text of the item.
func (i Item) Text() string { return i.text }

// Report reports a problem of the item.
func (i Item) Report(found, allowed string) { i.document.report(i.line, i.path, found, allowed) }

// Has reports whether the field is present.
func (s *Section) Has(name string) bool {
	_, ok := s.node.find(name)
	return ok
}

// Require reports each of the fields that is absent.
func (s *Section) Require(names ...string) {
	for _, n := range names {
		if !s.Has(n) {
			s.ask(n)
			s.document.report(s.node.line, s.join(n), "nothing", "this field is required")
		}
	}
}

// Report reports a problem of the field, or of the section if the field is absent.
func (s *Section) Report(name, found, allowed string) {
	line := s.node.line
	if f, ok := s.node.find(name); ok {
		line = f.line
	}
	s.document.report(line, s.join(name), found, allowed)
}

// Text returns a text.
func (s *Section) Text(name, fallback string) string {
	n := s.scalar(name, kindString, "a text (numbers need quotes)")
	if n == nil {
		return fallback
	}
	return n.text
}

// Checked returns a text that check accepts. The rule describes what is allowed.
func (s *Section) Checked(name, fallback, rule string, check func(string) bool) string {
	n := s.scalar(name, kindString, rule)
	if n == nil {
		return fallback
	}
	if !check(n.text) {
		s.Report(name, n.describe(), rule)
		return fallback
	}
	return n.text
}

// Choice returns one of the allowed texts.
func (s *Section) Choice(name, fallback string, allowed ...string) string {
	rule := strings.Join(allowed, ", ")
	return s.Checked(name, fallback, rule, func(t string) bool {
		for _, a := range allowed {
			if a == t {
				return true
			}
		}
		return false
	})
}

// Bool returns true or false.
func (s *Section) Bool(name string, fallback bool) bool {
	n := s.scalar(name, kindBool, "true, false")
	if n == nil {
		return fallback
	}
	return strings.EqualFold(n.text, "true")
}

// Int returns a whole number in decimal digits, from low to high.
func (s *Section) Int(name string, fallback, low, high int) int {
	rule := fmt.Sprintf("a whole number from %d to %d", low, high)
	n := s.scalar(name, kindNumber, rule)
	if n == nil {
		return fallback
	}
	v, err := strconv.Atoi(n.text)
	if err != nil || !isDigits(strings.TrimPrefix(n.text, "-")) || v < low || v > high {
		s.Report(name, n.describe(), rule)
		return fallback
	}
	return v
}

// Ratio returns a decimal number from 0.0001 to below 1. Smaller numbers are left out because they are written with an
// exponent, which YAML reads as a text.
func (s *Section) Ratio(name string, fallback float64) float64 {
	const rule = "a decimal number from 0.0001 to below 1"
	n := s.scalar(name, kindNumber, rule)
	if n == nil {
		return fallback
	}
	v, err := strconv.ParseFloat(n.text, 64)
	if err != nil || math.IsNaN(v) || v < minRatio || v >= 1 {
		s.Report(name, n.describe(), rule)
		return fallback
	}
	return v
}

// Duration returns a duration written like "6s" or "1h30m", from low to high.
func (s *Section) Duration(name string, fallback, low, high time.Duration) time.Duration {
	rule := fmt.Sprintf("a duration with its unit from %s to %s", FormatDuration(low), FormatDuration(high))
	n := s.scalar(name, kindString, rule)
	if n == nil {
		return fallback
	}
	v, err := time.ParseDuration(n.text)
	if err != nil || v < low || v > high {
		s.Report(name, n.describe(), rule)
		return fallback
	}
	return v
}

// Size returns a number of bytes written like "64KiB" or "1MiB", from low to high. It must be a multiple of unit.
func (s *Section) Size(name string, fallback, low, high, unit int64) int64 {
	rule := fmt.Sprintf("a size in B, KiB, MiB, GiB or TiB from %s to %s", FormatSize(low), FormatSize(high))
	if unit > 1 {
		rule += " in whole " + strings.TrimPrefix(FormatSize(unit), "1")
	}
	n := s.scalar(name, kindString, rule)
	if n == nil {
		return fallback
	}
	v, ok := parseSize(n.text)
	if !ok || v < low || v > high || v%unit != 0 {
		s.Report(name, n.describe(), rule)
		return fallback
	}
	return v
}

// Section returns a nested mapping. It is empty if the field is absent or wrong. It is called once for a field, because
// each result reports the fields that it wasn't asked for.
func (s *Section) Section(name string) *Section {
	f, ok := s.ask(name)
	if !ok {
		return s.document.section(s.join(name), &node{kind: kindMap, line: s.node.line})
	}
	if f.value.kind != kindMap {
		s.Report(name, f.value.describe(), "a mapping")
		return s.document.section(s.join(name), &node{kind: kindMap, line: f.line})
	}
	return s.document.section(s.join(name), f.value)
}

// Sections returns a list of mappings, at most limit.
func (s *Section) Sections(name string, limit int) []*Section {
	var found []*Section
	for i, n := range s.list(name, limit) {
		path := fmt.Sprintf("%s[%d]", s.join(name), i)
		if n.kind != kindMap {
			s.document.report(n.line, path, n.describe(), "a mapping")
			continue
		}
		found = append(found, s.document.section(path, n))
	}
	return found
}

// Texts returns a list of texts that check accepts, at most limit.
func (s *Section) Texts(name string, limit int, rule string, check func(string) bool) []Item {
	var found []Item
	for i, n := range s.list(name, limit) {
		item := Item{document: s.document, path: fmt.Sprintf("%s[%d]", s.join(name), i), line: n.line, text: n.text}
		if n.kind != kindString || !check(n.text) {
			item.Report(n.describe(), rule)
			continue
		}
		found = append(found, item)
	}
	return found
}

func (s *Section) list(name string, limit int) []*node {
	f, ok := s.ask(name)
	if !ok {
		return nil
	}
	if f.value.kind != kindList {
		s.Report(name, f.value.describe(), "a list")
		return nil
	}
	if n := len(f.value.items); n > limit {
		s.Report(name, fmt.Sprintf("%d items", n), fmt.Sprintf("at most %d", limit))
		return nil
	}
	return f.value.items
}

func (s *Section) scalar(name string, k kind, rule string) *node {
	f, ok := s.ask(name)
	if !ok {
		return nil
	}
	if f.value.kind != k {
		s.Report(name, f.value.describe(), rule)
		return nil
	}
	return f.value
}

func (s *Section) ask(name string) (field, bool) {
	if !slices.Contains(s.asked, name) {
		s.asked = append(s.asked, name)
	}
	return s.node.find(name)
}

func (s *Section) join(name string) string { return join(s.path, name) }

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
