package document

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Problem is one thing that is wrong in a document.
type Problem struct {
	file    string
	line    int
	field   string
	found   string
	allowed string
}

// File returns the name of the file.
func (p Problem) File() string { return p.file }

// Line returns the line, counted from 1, and 0 for documents without lines.
func (p Problem) Line() int { return p.line }

// Field returns the path of the field, such as "entries[2].class".
func (p Problem) Field() string { return p.field }

// Found returns what the document holds there.
func (p Problem) Found() string { return p.found }

// Allowed returns what it could hold.
func (p Problem) Allowed() string { return p.allowed }

// String returns the problem as one line.
func (p Problem) String() string {
	at := p.file
	if p.line > 0 {
		at = fmt.Sprintf("%s:%d", p.file, p.line)
	}
	if p.field != "" {
		at += ": " + p.field
	}
	return fmt.Sprintf("%s: found %s, allowed: %s", at, p.found, p.allowed)
}

// Error is the error of a document with problems.
type Error struct{ problems []Problem }

// Problems returns all problems in order of their lines. Callers must not modify the slice.
func (e *Error) Problems() []Problem { return e.problems }

// Error returns one line for each problem, up to a limit.
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
