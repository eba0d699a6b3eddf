package document

import (
	"bytes"
	"encoding/json"
	"io"
	"slices"
	"strconv"
	"strings"
)

// ParseJSON opens a JSON document. Its problems have no lines.
func ParseJSON(data []byte, file string) *Document {
	d := &Document{file: file}
	if len(data) > MaxJSONBytes {
		return d.refuse(0, strconv.Itoa(len(data))+" bytes", "at most "+strconv.Itoa(MaxJSONBytes)+" bytes")
	}

	dec := json.NewDecoder(bytes.NewReader(data))
	dec.UseNumber()
	var v any
	if err := dec.Decode(&v); err != nil {
		return d.refuse(0, "a syntax error: "+err.Error(), "valid JSON")
	}
	if _, err := dec.Token(); err != io.EOF {
		return d.refuse(0, "text after the document", "one JSON object")
	}
	return d.open(fromJSON(v))
}

func fromJSON(v any) *node {
	switch v := v.(type) {
	case bool:
		return &node{kind: kindBool, text: strconv.FormatBool(v)}
	case json.Number:
		return &node{kind: kindNumber, text: v.String()}
	case string:
		return &node{kind: kindString, text: v}
	case []any:
		l := &node{kind: kindList}
		for _, i := range v {
			l.items = append(l.items, fromJSON(i))
		}
		return l
	case map[string]any:
		m := &node{kind: kindMap}
		for k, i := range v {
			m.fields = append(m.fields, field{name: k, value: fromJSON(i)})
		}
		slices.SortFunc(m.fields, func(f, g field) int { return strings.Compare(f.name, g.name) })
		return m
	default:
		return &node{kind: kindNull}
	}
}
