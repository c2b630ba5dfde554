// Package packer compresses data that daemons send to each other, with gzip.
//
// A configuration of some thousand routes has several hundred kilobytes, and two
// daemons send it to the entire fleet over links of which the slowest carry a few
// megabytes a second. Its text is repetitive and compresses to a tenth.
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

// ErrTooLarge is returned by Unpack for data that is larger than the limit.
var ErrTooLarge = errors.New("decompressed data is larger than the limit")

// Pack compresses data, for speed rather than for size. Its errors are those of gzip.
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

// Unpack decompresses data that Pack returned. It returns ErrTooLarge if the result
// has more than limit bytes, or the error of gzip for corrupted data.
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
