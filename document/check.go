package document

import (
	"bytes"
	"fmt"
	"unicode/utf8"
)

// limitChecker checks the limits on YAML documents line by line, before the parser runs. It knows only a part of the
// syntax and doesn't recognize strings: it also rejects documents whose strings contain very many brackets or lines of
// the same indent.
type limitChecker struct {
	flow    []flowLevel  // brackets that are open at this point
	fields  map[int]int  // by indent: fields so far of the mapping at this indent
	empty   int          // number of empty values so far
	pending pendingValue // value that the previous line doesn't contain
}

// flowLevel is an open bracket of a flow mapping or list, with the state of its current item.
type flowLevel struct {
	mapping bool // {} rather than []
	colon   bool // the item contains a colon
	value   bool // the item contains a value after the colon
}

// pendingValue is the value of a key or list item whose line ends before the value. The value is empty unless the next
// line is indented more than indent or, for the value of a key, is a list item at this indent.
type pendingValue struct {
	set    bool
	key    bool // the value belongs to a key rather than a list item
	indent int  // in spaces
}

// checkLimits returns the first violation of the limits on YAML documents. It returns an empty found if there is none.
func checkLimits(data []byte) (line int, found, allowed string) {
	if len(data) > MaxYAMLBytes {
		return 1, fmt.Sprintf("%d bytes", len(data)), fmt.Sprintf("at most %d bytes", MaxYAMLBytes)
	}
	if !utf8.Valid(data) {
		return 1, "bytes that aren't UTF-8", "UTF-8 text"
	}

	c, documents := limitChecker{fields: make(map[int]int)}, 0
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
		if found, allowed := c.checkLine(data[:end]); found != "" {
			return line, found, allowed
		}
		data = data[min(end+1, len(data)):]
	}
	return 0, "", ""
}

// checkLine returns the violation of a limit on this line, or an empty found if there is none.
func (c *limitChecker) checkLine(line []byte) (found, allowed string) {
	if len(line) > MaxLineBytes {
		return fmt.Sprintf("a line of %d bytes", len(line)), fmt.Sprintf("at most %d bytes", MaxLineBytes)
	}
	line = withoutComment(line)
	for _, b := range line {
		c.scanFlow(b)
	}
	if len(c.flow) > MaxNesting {
		return "nesting too deep", fmt.Sprintf("at most %d levels", MaxNesting)
	}
	if c.countFields(line) > MaxFields {
		return "too many lines of the same indent", fmt.Sprintf("at most %d fields in a mapping", MaxFields)
	}
	if c.empty > MaxEmptyValues {
		return "too many empty values", fmt.Sprintf("at most %d empty values", MaxEmptyValues)
	}
	return "", ""
}

// withoutComment removes the comment and trailing blanks of a line.
func withoutComment(line []byte) []byte {
	if bytes.HasPrefix(line, []byte("#")) {
		return nil
	}
	if i := bytes.Index(line, []byte(" #")); i >= 0 {
		line = line[:i]
	}
	return bytes.TrimRight(line, " \t")
}

// scanFlow processes one byte of a line: it keeps track of open brackets and counts the empty values in them.
func (c *limitChecker) scanFlow(b byte) {
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

// markValue records that the current item of the innermost bracket has a value, if it has a colon.
func (c *limitChecker) markValue() {
	if n := len(c.flow); n > 0 && c.flow[n-1].colon {
		c.flow[n-1].value = true
	}
}

// countEmpty counts the item of a bracket as an empty value if it lacks a value.
func (c *limitChecker) countEmpty(item flowLevel) {
	if !item.value && (item.mapping || item.colon) {
		c.empty++
	}
}

// countFields counts this line as a field of the mapping at its indent, and returns the number of fields of that
// mapping so far.
func (c *limitChecker) countFields(line []byte) int {
	rest := bytes.TrimLeft(line, " ")
	if len(rest) == 0 {
		return 0
	}
	indent := len(line) - len(rest)
	c.resolvePending(indent, isItem(rest))
	for i := range c.fields {
		if i > indent {
			delete(c.fields, i)
		}
	}
	for isItem(rest) {
		c.pending = pendingValue{set: len(rest) == 1, indent: indent}
		next := bytes.TrimLeft(rest[1:], " ")
		indent += len(rest) - len(next)
		rest = next
	}
	if bytes.HasSuffix(rest, []byte(":")) {
		c.pending = pendingValue{set: true, key: true, indent: indent}
	}
	c.fields[indent]++
	return c.fields[indent]
}

// resolvePending decides whether the pending value is empty. The arguments describe the next line: its indent, and
// whether it is a list item.
func (c *limitChecker) resolvePending(indent int, item bool) {
	p := c.pending
	c.pending = pendingValue{}
	hasValue := indent > p.indent || (indent == p.indent && p.key && item)
	if p.set && !hasValue {
		c.empty++
	}
}

// isItem reports whether a line, without its indent, starts with a list item.
func isItem(rest []byte) bool {
	return len(rest) > 0 && rest[0] == '-' && (len(rest) == 1 || rest[1] == ' ')
}
