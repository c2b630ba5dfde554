package loader

import (
	"encoding"
	"fmt"
	"math"
	"net/netip"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2/unstable"
)

// expecter is implemented by types that describe their valid values for a fault.
type expecter interface{ Expected() string }

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// assignTable assigns the keys of a table to the fields of a struct and checks the
// result. The struct's own Check runs only if the table has no other fault.
func (r *reader) assignTable(n *node, path string, v reflect.Value) {
	if n.children == nil {
		r.addFault(n.line, path, "expected a table")
		return
	}
	t := v.Type()
	for _, name := range n.names {
		c := n.children[name]
		f, ok := t.FieldByName(name)
		if !ok || !f.IsExported() || len(f.Index) > 1 {
			r.addFault(c.line, joinPath(path, name), "unknown key; expected %s", suggestion(t, name))
			continue
		}
		r.assignValue(c, joinPath(path, name), v.FieldByIndex(f.Index))
	}
	before := len(r.faults)
	r.checkFields(n, path, v)
	if c, ok := v.Addr().Interface().(Checker); ok && len(r.faults) == before {
		for _, p := range c.Check() {
			r.addFault(lineOf(n, p.Key), joinPath(path, p.Key), "expected %s", p.Expected)
		}
	}
}

// suggestion returns the key that differs from name only in case, or else all keys.
func suggestion(t reflect.Type, name string) string {
	var names []string
	for i := range t.NumField() {
		f := t.Field(i).Name
		if strings.EqualFold(f, name) {
			return f
		}
		names = append(names, f)
	}
	return "one of " + strings.Join(names, ", ")
}

// lineOf returns the line of a key, or that of its table if the key is absent.
func lineOf(n *node, name string) int {
	if c := n.children[name]; c != nil {
		return c.line
	}
	return n.line
}

// checkFields applies the check tags of the fields. It checks a table that the file doesn't
// have as an empty one.
func (r *reader) checkFields(n *node, path string, v reflect.Value) {
	t := v.Type()
	for i := range t.NumField() {
		f := t.Field(i)
		c := n.children[f.Name]
		if c == nil && !r.partial && f.Type.Kind() == reflect.Struct && f.IsExported() {
			r.assignTable(newTable(n.line), joinPath(path, f.Name), v.Field(i))
		}
		for tag := range strings.SplitSeq(f.Tag.Get("check"), ",") {
			if tag == "" || (c == nil && r.partial) || (c != nil && r.hasFault(c, joinPath(path, f.Name))) {
				continue
			}
			if expected := checkTag(tag, v.Field(i)); expected != "" {
				r.addFault(lineOf(n, f.Name), joinPath(path, f.Name), "expected %s", expected)
				break
			}
		}
	}
}

// hasFault reports whether the key already has a fault.
func (r *reader) hasFault(c *node, key string) bool {
	for _, f := range r.faults {
		if f.Line == c.line && f.Key == key {
			return true
		}
	}
	return false
}

// checkTag returns what a check tag expects, or an empty string if the value passes.
func checkTag(tag string, v reflect.Value) string {
	switch tag {
	case "required":
		if v.IsZero() {
			return "a value; the key is missing or empty"
		}
	case "address":
		if s := v.String(); s != "" && !isAddress(s) {
			return fmt.Sprintf(`an IP address and port, such as "10.0.0.1:8080", not %q`, s)
		}
	case "positive":
		if v.CanInt() && v.Int() <= 0 || v.CanFloat() && v.Float() <= 0 {
			return "a value above zero"
		}
	default:
		return "a known check; the tag " + strconv.Quote(tag) + " is unknown"
	}
	return ""
}

func isAddress(s string) bool {
	_, err := netip.ParseAddrPort(s)
	return err == nil
}

// assignValue assigns the value of one key by the type of its field.
func (r *reader) assignValue(n *node, path string, v reflect.Value) {
	if u, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		r.assignText(n, path, u)
		return
	}
	if v.Type() == reflect.TypeFor[time.Duration]() {
		r.assignText(n, path, (*Duration)(v.Addr().Interface().(*time.Duration)))
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		r.assignTable(n, path, v)
	case reflect.Slice:
		r.assignArray(n, path, v)
	default:
		if expected := assignScalar(n, v); expected != "" {
			r.addFault(n.line, path, "expected %s", expected)
		}
	}
}

func (r *reader) assignText(n *node, path string, u encoding.TextUnmarshaler) {
	expected := "a string"
	if e, ok := u.(expecter); ok {
		expected = e.Expected()
	}
	if n.kind != unstable.String || u.UnmarshalText([]byte(n.text)) != nil {
		r.addFault(n.line, path, "expected %s", expected)
	}
}

func (r *reader) assignArray(n *node, path string, v reflect.Value) {
	if n.kind != unstable.Array {
		r.addFault(n.line, path, "expected an array")
		return
	}
	out := reflect.MakeSlice(v.Type(), len(n.elements), len(n.elements))
	for i, e := range n.elements {
		r.assignValue(e, fmt.Sprintf("%s[%d]", path, i), out.Index(i))
	}
	v.Set(out)
}

// assignScalar assigns a scalar. It returns what was expected if the value doesn't fit
// the field, or else an empty string.
func assignScalar(n *node, v reflect.Value) string {
	switch {
	case v.Kind() == reflect.String:
		if n.kind != unstable.String {
			return "a string"
		}
		v.SetString(n.text)
	case v.Kind() == reflect.Bool:
		if n.kind != unstable.Bool {
			return "true or false"
		}
		v.SetBool(n.text == "true")
	case v.CanInt():
		i, err := strconv.ParseInt(n.text, 0, 64)
		if n.kind != unstable.Integer || err != nil || v.OverflowInt(i) {
			return "a whole number"
		}
		v.SetInt(i)
	case v.CanUint():
		i, err := strconv.ParseUint(strings.TrimPrefix(n.text, "+"), 0, 64)
		if n.kind != unstable.Integer || err != nil || v.OverflowUint(i) {
			return "a whole number that is not negative"
		}
		v.SetUint(i)
	case v.CanFloat():
		return assignFloat(n, v)
	default:
		return "no value, because settings of type " + v.Type().String() + " are not supported"
	}
	return ""
}

func assignFloat(n *node, v reflect.Value) string {
	f, err := strconv.ParseFloat(strings.ReplaceAll(n.text, "_", ""), 64)
	if (n.kind != unstable.Float && n.kind != unstable.Integer) || err != nil || math.IsNaN(f) || math.IsInf(f, 0) {
		return "a finite number"
	}
	v.SetFloat(f)
	return ""
}
