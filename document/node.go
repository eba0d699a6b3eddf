package document

import (
	"fmt"
	"strconv"
)

// kind is the type of a node.
type kind uint8

const (
	kindNull kind = iota
	kindBool
	kindNumber
	kindString
	kindMap
	kindList
	kindUnsupported
)

// node is a value of a YAML or JSON document. The text is that of a scalar as written, without quotes, or the
// description of an unsupported value. Fields are those of a mapping, items those of a list. The line is 0 in JSON
// documents.
type node struct {
	kind   kind
	text   string
	line   int
	fields []field
	items  []*node
}

// field is a field of a mapping, with the line of its name.
type field struct {
	name  string
	line  int
	value *node
}

func (n *node) find(name string) (field, bool) {
	for _, f := range n.fields {
		if f.name == name {
			return f, true
		}
	}
	return field{}, false
}

// describe returns the description of the value for messages.
func (n *node) describe() string {
	switch n.kind {
	case kindNull:
		return "nothing"
	case kindMap:
		return "a mapping"
	case kindList:
		return "a list"
	case kindString:
		return strconv.Quote(shorten(n.text))
	case kindBool, kindNumber:
		return shorten(n.text)
	default:
		return n.text
	}
}

// shorten cuts s to maxFoundBytes and appends its length.
func shorten(s string) string {
	if len(s) <= maxFoundBytes {
		return s
	}
	return fmt.Sprintf("%s... (%d bytes)", s[:maxFoundBytes], len(s))
}
