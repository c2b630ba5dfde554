package loader

import (
	"github.com/pelletier/go-toml/v2/unstable"
)

// node is the value of a key: a scalar, a table with its children, or an array.
type node struct {
	line int
	kind unstable.Kind
	// text is the raw value of a scalar; strings are unquoted.
	text string
	// names lists the keys of a table in the order of the file.
	names    []string
	children map[string]*node
	elements []*node
}

func newTable(line int) *node {
	return &node{line: line, kind: unstable.Table, children: map[string]*node{}}
}

// child returns the table with the name and creates it if it is absent. For an array
// of tables it returns the last element.
func (n *node) child(name string, line int) *node {
	c := n.children[name]
	if c == nil {
		c = newTable(line)
		n.setChild(name, c)
	}
	if c.kind == unstable.Array && len(c.elements) > 0 {
		c = c.elements[len(c.elements)-1]
	}
	if c.children == nil {
		return newTable(line) // a scalar is redefined as a table; checkSyntax reports it
	}
	return c
}

func (n *node) setChild(name string, c *node) {
	if _, ok := n.children[name]; !ok {
		n.names = append(n.names, name)
	}
	n.children[name] = c
}

// appendTable adds an element to an array of tables, which it creates if it is absent,
// and returns the element.
func (n *node) appendTable(name string, line int) *node {
	t := newTable(line)
	a := n.children[name]
	if a == nil || a.kind != unstable.Array {
		a = &node{line: line, kind: unstable.Array}
		n.setChild(name, a)
	}
	a.elements = append(a.elements, t)
	return t
}

// builder builds a tree of nodes from parsed expressions.
type builder struct{ parser unstable.Parser }

// buildTree returns the tree of all expressions before the first syntax fault.
func buildTree(data []byte) *node {
	b := &builder{}
	b.parser.Reset(data)
	root := newTable(1)
	at := root
	for b.parser.NextExpression() {
		e := b.parser.Expression()
		switch e.Kind {
		case unstable.Table, unstable.ArrayTable:
			at = b.openTable(root, e)
		case unstable.KeyValue:
			b.addKeyValue(at, e)
		}
	}
	return root
}

// keyParts returns the parts of a dotted key and the line of the first one.
func (b *builder) keyParts(e *unstable.Node) (parts []string, line int) {
	for it := e.Key(); it.Next(); {
		if line == 0 {
			line = b.parser.Shape(it.Node().Raw).Start.Line
		}
		parts = append(parts, string(it.Node().Data))
	}
	return parts, line
}

// openTable returns the table that a table header opens.
func (b *builder) openTable(root *node, e *unstable.Node) *node {
	parts, line := b.keyParts(e)
	at := root
	for _, p := range parts[:len(parts)-1] {
		at = at.child(p, line)
	}
	last := parts[len(parts)-1]
	if e.Kind == unstable.ArrayTable {
		return at.appendTable(last, line)
	}
	return at.child(last, line)
}

func (b *builder) addKeyValue(at *node, e *unstable.Node) {
	parts, line := b.keyParts(e)
	for _, p := range parts[:len(parts)-1] {
		at = at.child(p, line)
	}
	at.setChild(parts[len(parts)-1], b.buildValue(e.Value(), line))
}

func (b *builder) buildValue(v *unstable.Node, line int) *node {
	switch v.Kind {
	case unstable.InlineTable:
		t := newTable(line)
		for it := v.Children(); it.Next(); {
			b.addKeyValue(t, it.Node())
		}
		return t
	case unstable.Array:
		a := &node{line: line, kind: unstable.Array}
		for it := v.Children(); it.Next(); {
			if it.Node().Kind == unstable.Comment {
				continue
			}
			a.elements = append(a.elements, b.buildValue(it.Node(), line))
		}
		return a
	default:
		return &node{line: line, kind: v.Kind, text: string(v.Data)}
	}
}
