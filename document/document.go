package document

import (
	"slices"
	"strings"
)

// Document is a parsed document and the problems found in it so far.
type Document struct {
	file     string
	root     *Section
	sections []*Section
	problems []Problem
	rejected bool // no section can be read, as after a syntax error
}

// Root returns the top-level section. It is empty if the document can't be parsed.
func (d *Document) Root() *Section { return d.root }

// Err returns an *Error with all problems found so far, or nil if there are none. A field that no method of its section
// was called for is a problem too, so Err is called after all fields are read.
func (d *Document) Err() error {
	problems := d.problems
	if !d.rejected {
		problems = append(problems[:len(problems):len(problems)], d.unknownFields()...)
	}
	if len(problems) == 0 {
		return nil
	}
	return newError(problems)
}

func (d *Document) unknownFields() []Problem {
	var unknown []Problem
	for _, s := range d.sections {
		for _, f := range s.node.fields {
			if slices.Contains(s.requested, f.name) {
				continue
			}
			unknown = append(unknown, Problem{
				file: d.file, line: f.line, field: s.join(f.name), found: "an unknown field", allowed: s.requestedNames(),
			})
		}
	}
	return unknown
}

// report adds a problem. It ignores problems of a rejected document, whose fields appear to be missing because they
// weren't parsed.
func (d *Document) report(line int, field, found, allowed string) {
	if d.rejected {
		return
	}
	d.problems = append(d.problems, Problem{file: d.file, line: line, field: field, found: found, allowed: allowed})
}

// reject reports a problem because of which the document can't be read, and sets an empty root.
func (d *Document) reject(line int, found, allowed string) *Document {
	d.report(line, "", found, allowed)
	d.rejected = true
	d.root = d.section("", &node{kind: kindMap, line: line})
	return d
}

// setRoot sets the root section to n, or rejects the document if n isn't a mapping.
func (d *Document) setRoot(n *node) *Document {
	if n.kind == kindNull {
		return d.reject(max(n.line, 1), "an empty document", "a mapping")
	}
	if n.kind != kindMap {
		return d.reject(n.line, n.describe(), "a mapping")
	}
	d.root = d.section("", n)
	return d
}

// section adds a section, so that unknownFields finds the fields that aren't requested from it.
func (d *Document) section(path string, n *node) *Section {
	s := &Section{document: d, path: path, node: n}
	d.sections = append(d.sections, s)
	return s
}

// requestedNames returns the sorted names of the fields that methods were called for.
func (s *Section) requestedNames() string {
	return strings.Join(slices.Sorted(slices.Values(s.requested)), ", ")
}
