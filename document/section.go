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
// or invalid. They report invalid values to the document, whose Err returns them. A field that no method is called for
// counts as unknown and is reported too.
type Section struct {
	document  *Document
	path      string
	node      *node
	requested []string // names of the fields that methods were called for
}

// TextItem is a string in a list, with its path and line.
type TextItem struct {
	document *Document
	path     string
	line     int
	text     string
}

// Text returns the string.
func (i TextItem) Text() string { return i.text }

// Report reports a problem of the item, with descriptions of the value found and the allowed values.
func (i TextItem) Report(found, allowed string) { i.document.report(i.line, i.path, found, allowed) }

// Has reports whether the field is present.
func (s *Section) Has(name string) bool {
	_, ok := s.node.find(name)
	return ok
}

// Require reports those of the fields that are absent.
func (s *Section) Require(names ...string) {
	for _, n := range names {
		if !s.Has(n) {
			s.lookUp(n)
			s.document.report(s.node.line, s.join(n), "nothing", "this field is required")
		}
	}
}

// Report reports a problem of a field, with descriptions of the value found and the allowed values. The line is that of
// the section if the field is absent.
func (s *Section) Report(name, found, allowed string) {
	line := s.node.line
	if f, ok := s.node.find(name); ok {
		line = f.line
	}
	s.document.report(line, s.join(name), found, allowed)
}

// Text returns a string.
func (s *Section) Text(name, fallback string) string {
	n := s.scalar(name, kindString, "a string (numbers need quotes)")
	if n == nil {
		return fallback
	}
	return n.text
}

// CheckedText returns a string for which valid returns true. The rule describes the allowed strings.
func (s *Section) CheckedText(name, fallback, rule string, valid func(string) bool) string {
	n := s.scalar(name, kindString, rule)
	if n == nil {
		return fallback
	}
	if !valid(n.text) {
		s.Report(name, n.describe(), rule)
		return fallback
	}
	return n.text
}

// Choice returns one of the allowed strings.
func (s *Section) Choice(name, fallback string, allowed ...string) string {
	rule := strings.Join(allowed, ", ")
	return s.CheckedText(name, fallback, rule, func(text string) bool {
		for _, a := range allowed {
			if a == text {
				return true
			}
		}
		return false
	})
}

// Bool returns a boolean.
func (s *Section) Bool(name string, fallback bool) bool {
	n := s.scalar(name, kindBool, "true, false")
	if n == nil {
		return fallback
	}
	return strings.EqualFold(n.text, "true")
}

// Int returns a whole number from low to high, written in decimal digits.
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

// Ratio returns a decimal number of at least 0.0001 and less than 1. Smaller numbers are rejected because they are
// formatted with an exponent, and YAML reads such a number as a string.
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

// Duration returns a duration from low to high, written as in "6s" or "1h30m".
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

// Size returns a number of bytes from low to high, written as in "64KiB" or "1MiB". It must be a multiple of unit, in
// bytes.
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

// Section returns a nested mapping. It is empty if the field is absent or invalid. It must be called only once per
// field, because each result reports the fields that aren't requested from it.
func (s *Section) Section(name string) *Section {
	f, ok := s.lookUp(name)
	if !ok {
		return s.document.section(s.join(name), &node{kind: kindMap, line: s.node.line})
	}
	if f.value.kind != kindMap {
		s.Report(name, f.value.describe(), "a mapping")
		return s.document.section(s.join(name), &node{kind: kindMap, line: f.line})
	}
	return s.document.section(s.join(name), f.value)
}

// Sections returns the mappings of a list. A list with more than limit items is invalid.
func (s *Section) Sections(name string, limit int) []*Section {
	var sections []*Section
	for i, n := range s.list(name, limit) {
		path := fmt.Sprintf("%s[%d]", s.join(name), i)
		if n.kind != kindMap {
			s.document.report(n.line, path, n.describe(), "a mapping")
			continue
		}
		sections = append(sections, s.document.section(path, n))
	}
	return sections
}

// Texts returns the strings of a list for which valid returns true. The rule describes the allowed strings. A list with
// more than limit items is invalid.
func (s *Section) Texts(name string, limit int, rule string, valid func(string) bool) []TextItem {
	var items []TextItem
	for i, n := range s.list(name, limit) {
		item := TextItem{document: s.document, path: fmt.Sprintf("%s[%d]", s.join(name), i), line: n.line, text: n.text}
		if n.kind != kindString || !valid(n.text) {
			item.Report(n.describe(), rule)
			continue
		}
		items = append(items, item)
	}
	return items
}

func (s *Section) list(name string, limit int) []*node {
	f, ok := s.lookUp(name)
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

// scalar returns the value of a field, or nil if the field is absent or isn't of kind k.
func (s *Section) scalar(name string, k kind, rule string) *node {
	f, ok := s.lookUp(name)
	if !ok {
		return nil
	}
	if f.value.kind != k {
		s.Report(name, f.value.describe(), rule)
		return nil
	}
	return f.value
}

// lookUp returns a field and records that it was requested.
func (s *Section) lookUp(name string) (field, bool) {
	if !slices.Contains(s.requested, name) {
		s.requested = append(s.requested, name)
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
