// Package packer compresses data that daemons send to each other, with gzip.
//
// A configuration of some thousand routes has several hundred kilobytes, and two
// daemons send it to the entire fleet over links of which the slowest carry a few
// megabytes a second. Its text is repetitive and compresses to a tenth.
//
// Usage:
//
//	packed, err := packer.Pack(raw)
//	head, err := packer.Wrap(rest)
//	raw, err := packer.Unpack(packed, limit)
package packer

import (
	"bytes"
	"compress/gzip"
	"errors"
	"io"
	"sync"
)

// ErrTooLarge is returned by Unpack for data that is larger than the limit.
var ErrTooLarge = errors.New("decompressed data is larger than the limit")

// writers holds compressors by level. A new one allocates more than a megabyte.
type writers struct {
	pool  sync.Pool
	level int
}

var (
	fast  = writers{level: gzip.BestSpeed}
	plain = writers{level: gzip.NoCompression}
)

// Pack compresses data, for speed rather than for size. Its errors are those of gzip.
func Pack(data []byte) ([]byte, error) { return fast.pack(data) }

// Wrap returns data in the same format without compressing it, for data that is short or
// compressed already. Results of Pack and Wrap that follow each other unpack to their data, one
// after the other.
func Wrap(data []byte) ([]byte, error) { return plain.pack(data) }

func (p *writers) pack(data []byte) ([]byte, error) {
	var b bytes.Buffer
	w, ok := p.pool.Get().(*gzip.Writer)
	if ok {
		w.Reset(&b)
	} else {
		var err error
		if w, err = gzip.NewWriterLevel(&b, p.level); err != nil {
			return nil, err
		}
	}
	if _, err := w.Write(data); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	p.pool.Put(w)
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
