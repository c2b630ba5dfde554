package catalogue

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"oleandercove.example/core/unit"
)

// Decode parses an entry from the value of a platform object with that version. It
// rejects unknown fields and data after the entry.
func Decode(value []byte, version unit.Version) (*Entry, error) {
	d := json.NewDecoder(bytes.NewReader(value))
	d.DisallowUnknownFields()
	var e Entry
	if err := d.Decode(&e); err != nil {
		return nil, fmt.Errorf("decode catalogue entry: %w", err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.New("decode catalogue entry: data after the entry")
	}
	e.Version = version
	return &e, nil
}

// DecodeStored parses an entry that any writer may have left. It returns the errors of
// Decode, and one for a number that CheckRanges faults.
func DecodeStored(value []byte, version unit.Version) (*Entry, error) {
	e, err := Decode(value, version)
	if err != nil {
		return nil, err
	}
	if faults := CheckRanges(e); len(faults) > 0 {
		return nil, fmt.Errorf("catalogue entry: %s", faults[0])
	}
	return e, nil
}

// Encode returns an entry as the value of a platform object.
func Encode(e *Entry) ([]byte, error) {
	return json.Marshal(e)
}
