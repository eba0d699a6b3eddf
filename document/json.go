package document

import (
	"bytes"
	"encoding/json"
	"io"
	"slices"
	"strconv"
	"strings"
)

// ParseJSON parses a JSON document. The file name is used in messages only. Document.Err returns syntax errors too, and
// its problems have no line numbers.
func ParseJSON(data []byte, file string) *Document {
	d := &Document{file: file}
	if len(data) > MaxJSONBytes {
		return d.reject(0, strconv.Itoa(len(data))+" bytes", "at most "+strconv.Itoa(MaxJSONBytes)+" bytes")
	}

	dec := json.NewDecoder(bytes.NewReader(data))
	dec.UseNumber()
	var v any
	if err := dec.Decode(&v); err != nil {
		return d.reject(0, "a syntax error: "+err.Error(), "valid JSON")
	}
	if _, err := dec.Token(); err != io.EOF {
		return d.reject(0, "text after the document", "one JSON object")
	}
	return d.setRoot(fromJSON(v))
}

// fromJSON converts a value that encoding/json decoded.
func fromJSON(v any) *node {
	switch v := v.(type) {
	case bool:
		return &node{kind: kindBool, text: strconv.FormatBool(v)}
	case json.Number:
		return &node{kind: kindNumber, text: v.String()}
	case string:
		return &node{kind: kindString, text: v}
	case []any:
		list := &node{kind: kindList}
		for _, item := range v {
			list.items = append(list.items, fromJSON(item))
		}
		return list
	case map[string]any:
		mapping := &node{kind: kindMap}
		for name, value := range v {
			mapping.fields = append(mapping.fields, field{name: name, value: fromJSON(value)})
		}
		slices.SortFunc(mapping.fields, func(f, g field) int { return strings.Compare(f.name, g.name) })
		return mapping
	default:
		return &node{kind: kindNull}
	}
}
