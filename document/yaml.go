package document

import (
	"fmt"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/pkg/errors"
)

// ParseYAML opens a YAML document. Problems of syntax are reported by Err like all others.
func ParseYAML(data []byte, file string) *Document {
	d := &Document{file: file}
	if line, found, allowed := checkText(data); found != "" {
		return d.refuse(line, found, allowed)
	}

	tree, err := parseTree(data)
	if err != nil {
		line, text := syntaxProblem(err)
		return d.refuse(line, text, "valid YAML")
	}

	bodies := tree.Docs[:0:0]
	for _, t := range tree.Docs {
		if t.Body != nil {
			bodies = append(bodies, t)
		}
	}
	if len(bodies) == 0 {
		return d.refuse(1, "an empty document", "a mapping")
	}
	if len(bodies) > 1 {
		return d.refuse(lineOf(bodies[1].Body), "a second document", "one document in a file")
	}
	return d.open(d.convert(bodies[0].Body, "", 0))
}

// parseTree turns a panic of the parser into an error: operators send documents to a running entry VM, and a fault of
// the parser must not end it.
func parseTree(data []byte) (tree *ast.File, err error) {
	defer func() {
		if r := recover(); r != nil {
			err = errors.Errorf("the parser failed: %v", r)
		}
	}()
	return parser.ParseBytes(data, 0, parser.AllowDuplicateMapKey())
}

func syntaxProblem(err error) (int, string) {
	var se *yaml.SyntaxError
	if !errors.As(err, &se) || se.Token == nil || se.Token.Position == nil {
		return 1, shorten(err.Error())
	}
	return se.Token.Position.Line, "a syntax error: " + shorten(se.Message)
}

func lineOf(n ast.Node) int {
	if n == nil {
		return 1
	}
	switch n := n.(type) {
	case *ast.MappingNode:
		if len(n.Values) > 0 && !n.IsFlowStyle {
			return lineOf(n.Values[0].Key)
		}
	case *ast.MappingValueNode:
		return lineOf(n.Key)
	}
	if t := n.GetToken(); t != nil && t.Position != nil {
		return t.Position.Line
	}
	return 1
}

func (d *Document) convert(n ast.Node, path string, depth int) *node {
	if depth > MaxNesting {
		return other(n, "nesting too deep")
	}
	switch n := n.(type) {
	case nil:
		return &node{kind: kindNull}
	case *ast.NullNode:
		return &node{kind: kindNull, line: lineOf(n)}
	case *ast.BoolNode:
		return &node{kind: kindBool, text: n.Token.Value, line: lineOf(n)}
	case *ast.IntegerNode:
		return &node{kind: kindNumber, text: n.Token.Value, line: lineOf(n)}
	case *ast.FloatNode:
		return &node{kind: kindNumber, text: n.Token.Value, line: lineOf(n)}
	case *ast.StringNode:
		return &node{kind: kindString, text: n.Value, line: lineOf(n)}
	case *ast.LiteralNode:
		return &node{kind: kindString, text: n.Value.Value, line: lineOf(n)}
	case *ast.MappingNode:
		return d.convertMap(n, n.Values, path, depth)
	case *ast.MappingValueNode:
		return d.convertMap(n, []*ast.MappingValueNode{n}, path, depth)
	case *ast.SequenceNode:
		return d.convertList(n, path, depth)
	default:
		return other(n, describeOther(n))
	}
}

func (d *Document) convertMap(n ast.Node, values []*ast.MappingValueNode, path string, depth int) *node {
	m := &node{kind: kindMap, line: lineOf(n), fields: make([]field, 0, len(values))}
	seen := make(map[string]struct{}, len(values))
	for _, v := range values {
		k, ok := v.Key.(*ast.StringNode)
		if !ok {
			d.report(lineOf(v.Key), path, "the key "+shorten(v.Key.String()), "a plain text as key")
			continue
		}
		if _, ok := seen[k.Value]; ok {
			d.report(lineOf(k), join(path, k.Value), "a second field of this name", "each field once")
			continue
		}
		seen[k.Value] = struct{}{}
		m.fields = append(m.fields, field{name: k.Value, line: lineOf(k), value: d.convert(v.Value, join(path, k.Value), depth+1)})
	}
	return m
}

func (d *Document) convertList(n *ast.SequenceNode, path string, depth int) *node {
	l := &node{kind: kindList, line: lineOf(n), items: make([]*node, 0, len(n.Values))}
	for i, v := range n.Values {
		l.items = append(l.items, d.convert(v, fmt.Sprintf("%s[%d]", path, i), depth+1))
	}
	return l
}

func other(n ast.Node, text string) *node { return &node{kind: kindOther, text: text, line: lineOf(n)} }

func describeOther(n ast.Node) string {
	switch n.(type) {
	case *ast.AnchorNode:
		return "an anchor"
	case *ast.AliasNode:
		return "an alias"
	case *ast.TagNode:
		return "a tag"
	case *ast.InfinityNode, *ast.NanNode:
		return n.GetToken().Value
	default:
		return fmt.Sprintf("YAML of type %s", n.Type())
	}
}
