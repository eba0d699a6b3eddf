package document

import (
	"slices"
	"strings"
)

// Document is a document that is being read.
type Document struct {
	file     string
	root     *Section
	sections []*Section
	problems []Problem
	broken   bool
}

// Root returns the top-level section.
func (d *Document) Root() *Section { return d.root }

// Err returns all problems found so far as an *Error, together with the fields that no section was asked for. It is
// called after all fields were read.
func (d *Document) Err() error {
	all := d.problems
	if !d.broken {
		all = append(all[:len(all):len(all)], d.unknownFields()...)
	}
	if len(all) == 0 {
		return nil
	}
	return newError(all)
}

func (d *Document) unknownFields() []Problem {
	var found []Problem
	for _, s := range d.sections {
		for _, f := range s.node.fields {
			if slices.Contains(s.asked, f.name) {
				continue
			}
			found = append(found, Problem{
				file: d.file, line: f.line, field: s.join(f.name), found: "an unknown field", allowed: s.known(),
			})
		}
	}
	return found
}

// report does nothing for a document that can't be read at all: what is missing in it says nothing.
func (d *Document) report(line int, field, found, allowed string) {
	if d.broken {
		return
	}
	d.problems = append(d.problems, Problem{file: d.file, line: line, field: field, found: found, allowed: allowed})
}

// refuse reports a problem that leaves nothing to read.
func (d *Document) refuse(line int, found, allowed string) *Document {
	d.report(line, "", found, allowed)
	d.broken = true
	d.root = d.section("", &node{kind: kindMap, line: line})
	return d
}

func (d *Document) open(n *node) *Document {
	if n.kind == kindNull {
		return d.refuse(max(n.line, 1), "an empty document", "a mapping")
	}
	if n.kind != kindMap {
		return d.refuse(n.line, n.describe(), "a mapping")
	}
	d.root = d.section("", n)
	return d
}

func (d *Document) section(path string, n *node) *Section {
	s := &Section{document: d, path: path, node: n}
	d.sections = append(d.sections, s)
	return s
}

func (s *Section) known() string {
	return strings.Join(slices.Sorted(slices.Values(s.asked)), ", ")
}
