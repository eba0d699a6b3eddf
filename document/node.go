package document

import (
	"fmt"
	"strconv"
)

type kind uint8

const (
	kindNull kind = iota
	kindBool
	kindNumber
	kindString
	kindMap
	kindList
	kindOther
)

// node is a value of a document, whatever its format. The text of a scalar is as written, without quotes.
type node struct {
	kind   kind
	text   string
	line   int
	fields []field
	items  []*node
}

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

func shorten(s string) string {
	if len(s) <= maxFoundBytes {
		return s
	}
	return fmt.Sprintf("%s... (%d bytes)", s[:maxFoundBytes], len(s))
}
