package engine

import (
	"encoding/json"
	"io"

	"oleandercove.example/core/receiver"
)

// maxStatusBytes bounds the status of an engine, in bytes. It lists the streams and the
// cached prefixes of one engine.
const maxStatusBytes = 1 << 20

// ReadStatus reads the status that an engine reports. It returns receiver.ErrBodyTooLarge if
// the report is too long, and an error if it can't be read or decoded.
func ReadStatus(r io.Reader) (*Status, error) {
	data, err := receiver.ReadBody(r, maxStatusBytes)
	if err != nil {
		return nil, err
	}
	s := &Status{}
	return s, json.Unmarshal(data, s)
}
