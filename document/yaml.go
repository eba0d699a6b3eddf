package document

import (
	"fmt"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/pkg/errors"
)

// ParseYAML parses a YAML document. The file name is used in messages only. Document.Err returns syntax errors too.
func ParseYAML(data []byte, file string) *Document {
	d := &Document{file: file}
	if line, found, allowed := checkLimits(data); found != "" {
		return d.reject(line, found, allowed)
	}

	tree, err := parseTree(data)
	if err != nil {
		line, found := syntaxProblem(err)
		return d.reject(line, found, "valid YAML")
	}

	nonEmpty := tree.Docs[:0:0]
	for _, t := range tree.Docs {
		if t.Body != nil {
			nonEmpty = append(nonEmpty, t)
		}
	}
	if len(nonEmpty) == 0 {
		return d.reject(1, "an empty document", "a mapping")
	}
	if len(nonEmpty) > 1 {
		return d.reject(lineOf(nonEmpty[1].Body), "a second document", "one document in a file")
	}
	return d.setRoot(d.convert(nonEmpty[0].Body, "", 0))
}

// parseTree returns an error if the YAML parser panics. Operators send documents to a running entry VM, and a bug of
// the parser must not crash it.
func parseTree(data []byte) (tree *ast.File, err error) {
	defer func() {
		if r := recover(); r != nil {
			err = errors.Errorf("the YAML parser panicked: %v", r)
		}
	}()
	return parser.ParseBytes(data, 0, parser.AllowDuplicateMapKey())
}

// syntaxProblem returns the line and the description of an error of the YAML parser.
func syntaxProblem(err error) (line int, found string) {
	var syntax *yaml.SyntaxError
	if !errors.As(err, &syntax) || syntax.Token == nil || syntax.Token.Position == nil {
		return 1, shorten(err.Error())
	}
	return syntax.Token.Position.Line, "a syntax error: " + shorten(syntax.Message)
}

// lineOf returns the line on which a value starts, 1 if it is unknown.
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

// convert converts a value of the YAML parser. The path is that of the field, and the depth counts the levels above it.
// Duplicate fields and keys that aren't strings are reported and left out.
func (d *Document) convert(n ast.Node, path string, depth int) *node {
	if depth > MaxNesting {
		return unsupported(n, "nesting too deep")
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
		return unsupported(n, describeUnsupported(n))
	}
}

func (d *Document) convertMap(n ast.Node, values []*ast.MappingValueNode, path string, depth int) *node {
	mapping := &node{kind: kindMap, line: lineOf(n), fields: make([]field, 0, len(values))}
	seen := make(map[string]struct{}, len(values))
	for _, v := range values {
		k, ok := v.Key.(*ast.StringNode)
		if !ok {
			d.report(lineOf(v.Key), path, "the key "+shorten(v.Key.String()), "a string as key")
			continue
		}
		if _, ok := seen[k.Value]; ok {
			d.report(lineOf(k), join(path, k.Value), "a duplicate field", "each field once")
			continue
		}
		seen[k.Value] = struct{}{}
		mapping.fields = append(mapping.fields, field{
			name: k.Value, line: lineOf(k), value: d.convert(v.Value, join(path, k.Value), depth+1),
		})
	}
	return mapping
}

func (d *Document) convertList(n *ast.SequenceNode, path string, depth int) *node {
	list := &node{kind: kindList, line: lineOf(n), items: make([]*node, 0, len(n.Values))}
	for i, v := range n.Values {
		list.items = append(list.items, d.convert(v, fmt.Sprintf("%s[%d]", path, i), depth+1))
	}
	return list
}

// unsupported returns a node that no method of Section accepts.
func unsupported(n ast.Node, text string) *node {
	return &node{kind: kindUnsupported, text: text, line: lineOf(n)}
}

func describeUnsupported(n ast.Node) string {
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
