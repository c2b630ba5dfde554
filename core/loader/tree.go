package loader

import (
	"github.com/pelletier/go-toml/v2/unstable"
)

// node is a key of a file with its value or its children.
type node struct {
	line int
	kind unstable.Kind
	// text is the raw value of a scalar; strings are unquoted.
	text string
	// names keeps the order of the keys of a table.
	names    []string
	children map[string]*node
	elements []*node
}

func newTable(line int) *node {
	return &node{line: line, kind: unstable.Table, children: map[string]*node{}}
}

// child returns the table below a name and makes it if it is absent. The last
// element stands for an array of tables.
func (n *node) child(name string, line int) *node {
	c := n.children[name]
	if c == nil {
		c = newTable(line)
		n.set(name, c)
	}
	if c.kind == unstable.Array && len(c.elements) > 0 {
		c = c.elements[len(c.elements)-1]
	}
	if c.children == nil {
		return newTable(line) // a scalar is redefined as a table; syntax reports it
	}
	return c
}

func (n *node) set(name string, c *node) {
	if _, ok := n.children[name]; !ok {
		n.names = append(n.names, name)
	}
	n.children[name] = c
}

// appendTable adds an element to an array of tables.
func (n *node) appendTable(name string, line int) *node {
	t := newTable(line)
	a := n.children[name]
	if a == nil || a.kind != unstable.Array {
		a = &node{line: line, kind: unstable.Array}
		n.set(name, a)
	}
	a.elements = append(a.elements, t)
	return t
}

// builder turns expressions into a tree.
type builder struct{ parser unstable.Parser }

// build returns the tree of all expressions before the first syntax fault.
func build(data []byte) *node {
	b := &builder{}
	b.parser.Reset(data)
	root := newTable(1)
	at := root
	for b.parser.NextExpression() {
		e := b.parser.Expression()
		switch e.Kind {
		case unstable.Table, unstable.ArrayTable:
			at = b.header(root, e)
		case unstable.KeyValue:
			b.keyValue(at, e)
		}
	}
	return root
}

// key returns the parts of a dotted key and its line.
func (b *builder) key(e *unstable.Node) (parts []string, line int) {
	for it := e.Key(); it.Next(); {
		if line == 0 {
			line = b.parser.Shape(it.Node().Raw).Start.Line
		}
		parts = append(parts, string(it.Node().Data))
	}
	return parts, line
}

func (b *builder) header(root *node, e *unstable.Node) *node {
	parts, line := b.key(e)
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

func (b *builder) keyValue(at *node, e *unstable.Node) {
	parts, line := b.key(e)
	for _, p := range parts[:len(parts)-1] {
		at = at.child(p, line)
	}
	at.set(parts[len(parts)-1], b.value(e.Value(), line))
}

func (b *builder) value(v *unstable.Node, line int) *node {
	switch v.Kind {
	case unstable.InlineTable:
		t := newTable(line)
		for it := v.Children(); it.Next(); {
			b.keyValue(t, it.Node())
		}
		return t
	case unstable.Array:
		a := &node{line: line, kind: unstable.Array}
		for it := v.Children(); it.Next(); {
			if it.Node().Kind == unstable.Comment {
				continue
			}
			a.elements = append(a.elements, b.value(it.Node(), line))
		}
		return a
	default:
		return &node{line: line, kind: v.Kind, text: string(v.Data)}
	}
}
