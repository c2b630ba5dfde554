package platform

import (
	"encoding/json"
	"slices"

	"oleandercove.example/core/splitter"
)

// decoder decodes the body of a response.
type decoder interface{ decode(data []byte) error }

// decode reads a list. An object that can't be read has no value, and no name if that
// can't be read either; the others are unaffected.
func (l *List) decode(data []byte) error {
	members, err := splitter.Members(data)
	if err != nil {
		return err
	}
	if err := decodeMember(members, "Revision", &l.Revision); err != nil {
		return err
	}
	items, err := splitter.Elements(members["Objects"])
	for _, item := range items {
		var o Object
		if o.decode(item) != nil {
			// Without a value it stands for nothing that a part of the daemon uses.
			o.Value = nil
		}
		l.Objects = append(l.Objects, o)
	}
	return err
}

// decode reads an object. Its value may be invalid JSON.
func (o *Object) decode(data []byte) error {
	members, err := splitter.Members(data)
	if err != nil {
		return err
	}
	fields := []struct {
		name string
		out  any
	}{
		{"Name", &o.Name},
		{"Kind", &o.Kind},
		{"Version", &o.Version},
		{"Revision", &o.Revision},
		{"WriteID", &o.WriteID},
		{"Deleted", &o.Deleted},
	}
	for _, f := range fields {
		if err := decodeMember(members, f.name, f.out); err != nil {
			return err
		}
	}
	// A copy, because the data of the whole response would stay in memory with it.
	o.Value = slices.Clone(members["Value"])
	return nil
}

// decodeMember decodes a member, which may be absent.
func decodeMember(members map[string]json.RawMessage, name string, out any) error {
	if v, ok := members[name]; ok {
		return json.Unmarshal(v, out)
	}
	return nil
}
