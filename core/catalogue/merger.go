package catalogue

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

const (
	// objectMarker is the value of a path that holds an object.
	objectMarker = "{}"
	// fieldDeleted is the path of the flag that marks a tombstone.
	fieldDeleted = "Deleted"
)

// managedFields are written only by the editor, never by an operator, so that a merge
// leaves them out.
var managedFields = []string{"Kind", "Name", "ChangedBy", "ChangedAt", "History"}

// FieldConflict is a field on which two edits conflict, with its JSON values in the
// base and in both edits. An empty value means that the field is not set.
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

// flatten returns the fields of an entry; a nil entry has none. It skips fields with
// the zero value, so that omitted and zero compare as equal.
func flatten(e *Entry) (fields, error) {
	f := fields{}
	if e == nil {
		return f, nil
	}
	value, err := Encode(e)
	if err != nil {
		return nil, err
	}
	if err := f.addObject("", value); err != nil {
		return nil, err
	}
	for _, name := range managedFields {
		delete(f, name)
	}
	return f, nil
}

// addObject adds the members of a JSON object, with the prefix before their names, and
// those of nested objects.
func (f fields) addObject(prefix string, object []byte) error {
	var members map[string]json.RawMessage
	if err := json.Unmarshal(object, &members); err != nil {
		return err
	}
	for name, value := range members {
		path := prefix + name
		switch v := string(value); {
		case v == "null" || v == "0" || v == `""` || v == "false" || v == "[]":
		case bytes.HasPrefix(value, []byte("{")):
			f[path] = objectMarker
			if err := f.addObject(path+".", value); err != nil {
				return err
			}
		default:
			f[path] = v
		}
	}
	return nil
}

// build returns an entry with these fields. The managed fields and the version come
// from the template.
func (f fields) build(template *Entry) (*Entry, error) {
	root := map[string]any{}
	for _, path := range f.paths() {
		if !setAt(root, strings.Split(path, "."), f[path]) {
			return nil, fmt.Errorf("field %s lies below a field that is not an object", path)
		}
	}
	value, err := json.Marshal(root)
	if err != nil {
		return nil, err
	}
	e, err := Decode(value, template.Version)
	if err != nil {
		return nil, err
	}
	e.Kind, e.Name, e.History = template.Kind, template.Name, template.History
	e.ChangedBy, e.ChangedAt = template.ChangedBy, template.ChangedAt
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

// objectAt returns the object at a path and creates missing objects on the way. It
// returns nil if the path crosses a value that is not an object.
func objectAt(root map[string]any, path []string) map[string]any {
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

// setAt writes a value at a path. It returns false if the path crosses a value that is not
// an object.
func setAt(root map[string]any, path []string, v string) bool {
	if v == objectMarker {
		return objectAt(root, path) != nil
	}
	last := len(path) - 1
	n := objectAt(root, path[:last])
	if n != nil {
		n[path[last]] = json.RawMessage(v)
	}
	return n != nil
}

// Diff returns the sorted paths of the fields that differ between two entries; a nil
// entry has no fields.
func Diff(a, b *Entry) ([]string, error) {
	x, err := flatten(a)
	if err != nil {
		return nil, err
	}
	y, err := flatten(b)
	if err != nil {
		return nil, err
	}
	return changedPaths(x, y), nil
}

// changedPaths returns the sorted paths whose values differ.
func changedPaths(base, edited fields) []string {
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

// Merge combines two edits of the same base:
//   - a field that only one edit changed gets its new value;
//   - a field that both edits changed to different values is a conflict, and then
//     Merge returns the conflicts and no entry.
//
// The result has the version and the managed fields of theirs.
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
	for _, p := range changedPaths(b, o) {
		if v, ok := o[p]; ok {
			t[p] = v
		} else {
			delete(t, p)
		}
	}
	e, err := t.build(theirs)
	return e, nil, err
}

// conflicts returns the conflicts between our edit o and their edit t of the base b, sorted
// by path.
func conflicts(b, o, t fields) []FieldConflict {
	ourPaths, theirPaths := changedPaths(b, o), changedPaths(b, t)
	var paths []string
	for _, p := range ourPaths {
		for _, q := range theirPaths {
			paths = append(paths, conflictingPaths(p, q, b, o, t)...)
		}
	}
	slices.Sort(paths)
	var out []FieldConflict
	for _, p := range slices.Compact(paths) {
		out = append(out, FieldConflict{Field: p, Base: rawOrNil(b[p]), Yours: rawOrNil(o[p]), Theirs: rawOrNil(t[p])})
	}
	return out
}

// conflictingPaths returns the path on which our change of p and their change of q
// conflict, if they do. Two changes conflict if they are
//   - the same field with different values,
//   - an object that one edit removes and the other changes, or
//   - a deletion of the entry and any other change.
func conflictingPaths(p, q string, b, o, t fields) []string {
	switch {
	case p == q && o[p] != t[p]:
		return []string{p}
	case p == q:
		return nil
	case p == fieldDeleted && o[p] != t[p], q == fieldDeleted && o[q] != t[q]:
		return []string{fieldDeleted}
	case removesParent(p, q, b, o):
		return []string{p}
	case removesParent(q, p, b, t):
		return []string{q}
	}
	return nil
}

// removesParent reports whether an edit removes the object that holds a field which
// the other edit changed.
func removesParent(object, field string, b, edited fields) bool {
	_, remains := edited[object]
	return b[object] == objectMarker && !remains && strings.HasPrefix(field, object+".")
}

// rawOrNil returns v as raw JSON, or nil for a field that is not set.
func rawOrNil(v string) json.RawMessage {
	if v == "" {
		return nil
	}
	return json.RawMessage(v)
}

// Apply returns a copy of an entry with the edits applied in order. It returns an
// error for an edit of a managed or unknown field, or with an invalid value.
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
	return next, f.checkPaths(next)
}

// checkPaths returns an error if the entry has a field that is not in f. The JSON
// decoder accepts field names in any case, but paths are compared exactly.
func (f fields) checkPaths(e *Entry) error {
	got, err := flatten(e)
	if err != nil {
		return err
	}
	for p, v := range got {
		if _, ok := f[p]; !ok && v != objectMarker {
			return fmt.Errorf("field names are case sensitive: use %s", p)
		}
	}
	return nil
}

// apply replaces a field and all fields below it by the value of the edit.
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
	if err := flat.addObject("", value); err != nil {
		return err
	}
	for p, v := range flat {
		f[edit.Field+strings.TrimPrefix(p, "V")] = v
	}
	return nil
}
