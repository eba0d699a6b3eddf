package document

import (
	"bytes"
	"fmt"
	"unicode/utf8"
)

// checker bounds what the parser of YAML gets. It reads lines and knows little of the syntax, so it also refuses
// documents that hold very many brackets, or very many lines of one indent, in texts.
type checker struct {
	flow   []flowLevel
	fields map[int]int
	empty  int
	open   openLine
}

// flowLevel is a bracket that isn't closed yet, with what was seen of its current item.
type flowLevel struct {
	mapping bool
	colon   bool
	value   bool
}

// openLine is a line that ends before its value. The value is empty if the next line isn't indented more than indent,
// or, for the value of a key, isn't an item at this indent.
type openLine struct {
	set    bool
	key    bool
	indent int
}

// checkText returns the first problem of a text, with an empty found if there is none.
func checkText(data []byte) (line int, found, allowed string) {
	if len(data) > MaxYAMLBytes {
		return 1, fmt.Sprintf("%d bytes", len(data)), fmt.Sprintf("at most %d bytes", MaxYAMLBytes)
	}
	if !utf8.Valid(data) {
		return 1, "bytes that aren't UTF-8", "UTF-8 text"
	}

	c, documents := checker{fields: make(map[int]int)}, 0
	for len(data) > 0 {
		line++
		end := bytes.IndexAny(data, "\r\n")
		if end < 0 {
			end = len(data)
		}
		if bytes.HasPrefix(data, []byte("---")) {
			documents++
		}
		if documents > 2 {
			return line, "several documents", "one document in a file"
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
	line = withoutComment(line)
	for _, b := range line {
		c.readFlow(b)
	}
	if len(c.flow) > MaxNesting {
		return "nesting too deep", fmt.Sprintf("at most %d levels", MaxNesting)
	}
	if c.countFields(line) > MaxFields {
		return "too many lines of one indent", fmt.Sprintf("at most %d fields in a mapping", MaxFields)
	}
	if c.empty > MaxEmptyValues {
		return "too many empty values", fmt.Sprintf("at most %d empty values", MaxEmptyValues)
	}
	return "", ""
}

func withoutComment(line []byte) []byte {
	if bytes.HasPrefix(line, []byte("#")) {
		return nil
	}
	if i := bytes.Index(line, []byte(" #")); i >= 0 {
		line = line[:i]
	}
	return bytes.TrimRight(line, " \t")
}

// readFlow follows brackets and counts the values that are missing between them.
func (c *checker) readFlow(b byte) {
	if b == '[' || b == '{' {
		c.markValue()
		c.flow = append(c.flow, flowLevel{mapping: b == '{'})
		return
	}
	if len(c.flow) == 0 {
		return
	}
	top := &c.flow[len(c.flow)-1]
	switch b {
	case ' ', '\t':
	case ':':
		top.colon = true
	case ',':
		c.countEmpty(*top)
		*top = flowLevel{mapping: top.mapping}
	case ']', '}':
		c.countEmpty(*top)
		c.flow = c.flow[:len(c.flow)-1]
	default:
		c.markValue()
	}
}

func (c *checker) markValue() {
	if n := len(c.flow); n > 0 && c.flow[n-1].colon {
		c.flow[n-1].value = true
	}
}

func (c *checker) countEmpty(l flowLevel) {
	if !l.value && (l.mapping || l.colon) {
		c.empty++
	}
}

// countFields returns the number of lines that continue a mapping at the indent of this line.
func (c *checker) countFields(line []byte) int {
	rest := bytes.TrimLeft(line, " ")
	if len(rest) == 0 {
		return 0
	}
	indent := len(line) - len(rest)
	c.closeLine(indent, isItem(rest))
	for i := range c.fields {
		if i > indent {
			delete(c.fields, i)
		}
	}
	for isItem(rest) {
		c.open = openLine{set: len(rest) == 1, indent: indent}
		next := bytes.TrimLeft(rest[1:], " ")
		indent += len(rest) - len(next)
		rest = next
	}
	if bytes.HasSuffix(rest, []byte(":")) {
		c.open = openLine{set: true, key: true, indent: indent}
	}
	c.fields[indent]++
	return c.fields[indent]
}

func (c *checker) closeLine(indent int, item bool) {
	o := c.open
	c.open = openLine{}
	value := indent > o.indent || (indent == o.indent && o.key && item)
	if o.set && !value {
		c.empty++
	}
}

func isItem(rest []byte) bool {
	return len(rest) > 0 && rest[0] == '-' && (len(rest) == 1 || rest[1] == ' ')
}
