package catalogue

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

const (
	// present is the value of a path that holds an object.
	present = "{}"
	// fieldDeleted is the path of the tombstone mark.
	fieldDeleted = "Deleted"
)

// managedFields are written by the editor and never by an operator, so they
// take no part in a merge.
var managedFields = []string{"Kind", "Name", "ChangedBy", "ChangedAt", "History"}

// FieldConflict is a field that two edits changed to different values. The
// values are JSON; an empty one means that the field is not set.
type FieldConflict struct {
	Field  string
	Base   json.RawMessage `json:",omitempty"`
	Yours  json.RawMessage `json:",omitempty"`
	Theirs json.RawMessage `json:",omitempty"`
}

// FieldEdit sets one field, such as Limits.RequestsPerSecond, to a JSON value.
// The value null clears the field.
type FieldEdit struct {
	Field string
	Value json.RawMessage
}

// fields maps the path of each field that is set to its JSON value.
type fields map[string]string

// flatten lists the fields of an entry. Fields with the zero value are left
// out, so that omitted and zero compare as equal.
func flatten(e *Entry) (fields, error) {
	f := fields{}
	if e == nil {
		return f, nil
	}
	value, err := Encode(e)
	if err != nil {
		return nil, err
	}
	if err := f.add("", value); err != nil {
		return nil, err
	}
	for _, name := range managedFields {
		delete(f, name)
	}
	return f, nil
}

func (f fields) add(prefix string, object []byte) error {
	var members map[string]json.RawMessage
	if err := json.Unmarshal(object, &members); err != nil {
		return err
	}
	for name, value := range members {
		path := prefix + name
		switch v := string(value); {
		case v == "null" || v == "0" || v == `""` || v == "false" || v == "[]":
		case bytes.HasPrefix(value, []byte("{")):
			f[path] = present
			if err := f.add(path+".", value); err != nil {
				return err
			}
		default:
			f[path] = v
		}
	}
	return nil
}

// build writes the fields into a copy of an entry without its own fields.
func (f fields) build(like *Entry) (*Entry, error) {
	root := map[string]any{}
	for _, path := range f.paths() {
		if !set(root, strings.Split(path, "."), f[path]) {
			return nil, fmt.Errorf("field %s lies below a field that is not an object", path)
		}
	}
	value, err := json.Marshal(root)
	if err != nil {
		return nil, err
	}
	e, err := Decode(value, like.Version)
	if err != nil {
		return nil, err
	}
	e.Kind, e.Name, e.History = like.Kind, like.Name, like.History
	e.ChangedBy, e.ChangedAt = like.ChangedBy, like.ChangedAt
	return e, nil
}

func (f fields) paths() []string {
	var out []string
	for p := range f {
		out = append(out, p)
	}
	slices.Sort(out)
	return out
}

// node returns the object at a path and creates it where it is missing.
func node(root map[string]any, path []string) map[string]any {
	for _, name := range path {
		if root[name] == nil {
			root[name] = map[string]any{}
		}
		next, ok := root[name].(map[string]any)
		if !ok {
			return nil
		}
		root = next
	}
	return root
}

// set writes a value at a path and tells whether all parents are objects.
func set(root map[string]any, path []string, v string) bool {
	if v == present {
		return node(root, path) != nil
	}
	last := len(path) - 1
	n := node(root, path[:last])
	if n != nil {
		n[path[last]] = json.RawMessage(v)
	}
	return n != nil
}

// Diff returns the paths of the fields that differ between two entries; nil
// stands for an entry without fields.
func Diff(a, b *Entry) ([]string, error) {
	x, err := flatten(a)
	if err != nil {
		return nil, err
	}
	y, err := flatten(b)
	if err != nil {
		return nil, err
	}
	return changed(x, y), nil
}

func changed(base, edited fields) []string {
	var out []string
	for p, v := range base {
		if edited[p] != v {
			out = append(out, p)
		}
	}
	for p := range edited {
		if _, ok := base[p]; !ok {
			out = append(out, p)
		}
	}
	slices.Sort(out)
	return out
}

// Merge combines two edits of one base. Fields that only one edit changed are
// taken over; a field that both changed to different values is a conflict, and
// then no entry is returned. The result keeps the version and history of
// theirs.
func Merge(base, ours, theirs *Entry) (*Entry, []FieldConflict, error) {
	b, err := flatten(base)
	if err != nil {
		return nil, nil, err
	}
	o, err := flatten(ours)
	if err != nil {
		return nil, nil, err
	}
	t, err := flatten(theirs)
	if err != nil {
		return nil, nil, err
	}
	if c := conflicts(b, o, t); len(c) > 0 {
		return nil, c, nil
	}
	for _, p := range changed(b, o) {
		if v, ok := o[p]; ok {
			t[p] = v
		} else {
			delete(t, p)
		}
	}
	e, err := t.build(theirs)
	return e, nil, err
}

func conflicts(b, o, t fields) []FieldConflict {
	mine, other := changed(b, o), changed(b, t)
	var paths []string
	for _, p := range mine {
		for _, q := range other {
			paths = append(paths, touch(p, q, b, o, t)...)
		}
	}
	slices.Sort(paths)
	var out []FieldConflict
	for _, p := range slices.Compact(paths) {
		out = append(out, FieldConflict{Field: p, Base: raw(b[p]), Yours: raw(o[p]), Theirs: raw(t[p])})
	}
	return out
}

// touch returns the paths on which two changes exclude each other: the same
// field with different values, an object that one edit removes and the other
// changes, or a deletion beside any other change.
func touch(p, q string, b, o, t fields) []string {
	switch {
	case p == q && o[p] != t[p]:
		return []string{p}
	case p == q:
		return nil
	case p == fieldDeleted && o[p] != t[p], q == fieldDeleted && o[q] != t[q]:
		return []string{fieldDeleted}
	case removes(p, q, b, o):
		return []string{p}
	case removes(q, p, b, t):
		return []string{q}
	}
	return nil
}

// removes tells whether an edit removes the object that holds a field which
// the other edit changed.
func removes(object, field string, b, edited fields) bool {
	_, remains := edited[object]
	return b[object] == present && !remains && strings.HasPrefix(field, object+".")
}

func raw(v string) json.RawMessage {
	if v == "" {
		return nil
	}
	return json.RawMessage(v)
}

// Apply returns a copy of an entry with some fields set.
func Apply(e *Entry, edits []FieldEdit) (*Entry, error) {
	f, err := flatten(e)
	if err != nil {
		return nil, err
	}
	for _, edit := range edits {
		if err := f.apply(edit); err != nil {
			return nil, err
		}
	}
	next, err := f.build(e)
	if err != nil {
		return nil, err
	}
	return next, f.contains(next)
}

// contains rejects an entry with a field that is not in f. The JSON decoder
// accepts field names in any case, but paths are compared exactly.
func (f fields) contains(e *Entry) error {
	got, err := flatten(e)
	if err != nil {
		return err
	}
	for p, v := range got {
		if _, ok := f[p]; !ok && v != present {
			return fmt.Errorf("field names are case sensitive: use %s", p)
		}
	}
	return nil
}

func (f fields) apply(edit FieldEdit) error {
	first, _, _ := strings.Cut(edit.Field, ".")
	switch {
	case edit.Field == "" || slices.Contains(strings.Split(edit.Field, "."), ""):
		return fmt.Errorf("field %q is not a path such as Limits.RequestsPerSecond", edit.Field)
	case slices.Contains(managedFields, first) || first == fieldDeleted:
		return fmt.Errorf("field %s is managed and cannot be set", edit.Field)
	case !json.Valid(edit.Value):
		return fmt.Errorf("value of field %s is not JSON", edit.Field)
	}
	for p := range f {
		if p == edit.Field || strings.HasPrefix(p, edit.Field+".") {
			delete(f, p)
		}
	}
	value, err := json.Marshal(map[string]json.RawMessage{"V": edit.Value})
	if err != nil {
		return err
	}
	flat := fields{}
	if err := flat.add("", value); err != nil {
		return err
	}
	for p, v := range flat {
		f[edit.Field+strings.TrimPrefix(p, "V")] = v
	}
	return nil
}
