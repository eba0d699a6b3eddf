package document

import (
	"bytes"
	"fmt"
	"unicode/utf8"
)

// checker bounds what the parser of YAML gets. It reads lines and knows little of the syntax, so it also refuses
// documents that hold very many brackets, or very many lines of one indent, in texts.
type checker struct {
	depth  int
	fields map[int]int
}

// checkText returns the first problem of a text, with an empty found if there is none.
func checkText(data []byte) (line int, found, allowed string) {
	if len(data) > MaxYAMLBytes {
		return 1, fmt.Sprintf("%d bytes", len(data)), fmt.Sprintf("at most %d bytes", MaxYAMLBytes)
	}
	if !utf8.Valid(data) {
		return 1, "bytes that aren't UTF-8", "UTF-8 text"
	}

	c := checker{fields: make(map[int]int)}
	for len(data) > 0 {
		line++
		end := bytes.IndexAny(data, "\r\n")
		if end < 0 {
			end = len(data)
		}
		if found, allowed := c.check(data[:end]); found != "" {
			return line, found, allowed
		}
		data = data[min(end+1, len(data)):]
	}
	return 0, "", ""
}

func (c *checker) check(line []byte) (found, allowed string) {
	if len(line) > MaxLineBytes {
		return fmt.Sprintf("a line of %d bytes", len(line)), fmt.Sprintf("at most %d bytes", MaxLineBytes)
	}
	for _, b := range line {
		switch b {
		case '[', '{':
			c.depth++
		case ']', '}':
			c.depth = max(c.depth-1, 0)
		}
		if c.depth > MaxNesting {
			return "nesting too deep", fmt.Sprintf("at most %d levels", MaxNesting)
		}
	}
	if c.countFields(line) > MaxFields {
		return "too many lines of one indent", fmt.Sprintf("at most %d fields in a mapping", MaxFields)
	}
	return "", ""
}

// countFields returns the number of lines that continue a mapping at the indent of this line.
func (c *checker) countFields(line []byte) int {
	rest := bytes.TrimLeft(line, " ")
	if len(rest) == 0 || rest[0] == '#' {
		return 0
	}
	indent := len(line) - len(rest)
	for i := range c.fields {
		if i > indent {
			delete(c.fields, i)
		}
	}
	for isItem(rest) {
		next := bytes.TrimLeft(rest[1:], " ")
		indent += len(rest) - len(next)
		rest = next
	}
	c.fields[indent]++
	return c.fields[indent]
}

func isItem(rest []byte) bool {
	return len(rest) > 0 && rest[0] == '-' && (len(rest) == 1 || rest[1] == ' ')
}
