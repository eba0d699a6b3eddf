package document

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Problem is an invalid value, an unknown or missing field, or a syntax error in a document.
type Problem struct {
	file    string
	line    int
	field   string
	found   string
	allowed string
}

// File returns the name of the file.
func (p Problem) File() string { return p.file }

// Line returns the line number, which starts at 1. It is 0 for JSON documents.
func (p Problem) Line() int { return p.line }

// Field returns the path of the field, such as "entries[2].class". It is empty for problems of the whole document.
func (p Problem) Field() string { return p.field }

// Found describes the value found.
func (p Problem) Found() string { return p.found }

// Allowed describes the allowed values.
func (p Problem) Allowed() string { return p.allowed }

// String returns "FILE:LINE: FIELD: found VALUE, allowed: VALUES". Parts that are missing are left out.
func (p Problem) String() string {
	location := p.file
	if p.line > 0 {
		location = fmt.Sprintf("%s:%d", p.file, p.line)
	}
	if p.field != "" {
		location += ": " + p.field
	}
	return fmt.Sprintf("%s: found %s, allowed: %s", location, p.found, p.allowed)
}

// Error is the error for a document with problems.
type Error struct{ problems []Problem }

// Problems returns all problems, sorted by line and field. Callers must not modify the slice.
func (e *Error) Problems() []Problem { return e.problems }

// Error returns one line for each problem. It lists at most 50 problems and gives the number of the others.
func (e *Error) Error() string {
	shown := e.problems[:min(len(e.problems), maxProblemsShown)]
	lines := make([]string, 0, len(shown)+1)
	for _, p := range shown {
		lines = append(lines, p.String())
	}
	if n := len(e.problems) - len(shown); n > 0 {
		lines = append(lines, fmt.Sprintf("and %d more problems", n))
	}
	return strings.Join(lines, "\n")
}

func newError(problems []Problem) *Error {
	slices.SortStableFunc(problems, func(p, q Problem) int {
		return cmp.Or(cmp.Compare(p.line, q.line), cmp.Compare(p.field, q.field))
	})
	return &Error{problems: problems}
}
