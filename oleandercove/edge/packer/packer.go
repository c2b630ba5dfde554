// Package packer compresses what daemons pass on to each other.
//
// A configuration of some thousand routes has several hundred kilobytes, and two
// daemons hand it to the whole fleet over links of which the slowest carry a few
// megabytes a second. Its text repeats itself and shrinks to a tenth.
//
// Usage:
//
//	packed, err := packer.Pack(raw)
//	raw, err := packer.Unpack(packed, limit)
package packer

import (
	"bytes"
	"compress/gzip"
	"errors"
	"io"
)

// ErrTooLarge is returned for data that is larger than its limit.
var ErrTooLarge = errors.New("unpacked data is too large")

// Pack compresses data, fast rather than small.
func Pack(data []byte) ([]byte, error) {
	var b bytes.Buffer
	w, err := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(data); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// Unpack returns what was packed, of at most a number of bytes.
func Unpack(packed []byte, limit int64) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, err
	}
	data, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > limit {
		return nil, ErrTooLarge
	}
	return data, nil
}
