// Package splitter splits a JSON document into its parts without decoding them, so that
// one odd part doesn't make the others unreadable.
//
// A list holds objects of several writers. The decoder of the standard library rejects a
// whole document that is nested too deeply, has a value of another type or a number out
// of range anywhere. This package only looks for the ends of values: it skips texts and
// counts brackets, in constant memory and in time proportional to the length. The parts
// are decoded one by one by the caller, and may be invalid JSON.
//
// Usage:
//
//	page, err := splitter.Members(data)
//	items, err := splitter.Elements(page["items"])
//	for _, item := range items {
//		if err := json.Unmarshal(item, &v); err != nil {
//			continue
//		}
//	}
package splitter

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
)

// ErrSyntax is returned for data in which the ends of the parts can't be found.
var ErrSyntax = errors.New("document can't be split")

// Elements returns the elements of a JSON array; null and no data have none. The elements
// share the memory of data.
func Elements(data []byte) ([]json.RawMessage, error) {
	if isNull(data) {
		return nil, nil
	}
	var out []json.RawMessage
	s := scanner{data: data}
	err := s.each('[', ']', func() error {
		v, err := s.value()
		out = append(out, v)
		return err
	})
	return out, err
}

// Members returns the members of a JSON object by name, of several with one name the
// last; null and no data have none. The values share the memory of data.
func Members(data []byte) (map[string]json.RawMessage, error) {
	if isNull(data) {
		return nil, nil
	}
	out := map[string]json.RawMessage{}
	s := scanner{data: data}
	err := s.each('{', '}', func() error {
		name, err := s.name()
		if err != nil {
			return err
		}
		out[name], err = s.value()
		return err
	})
	return out, err
}

func isNull(data []byte) bool {
	data = bytes.TrimSpace(data)
	return len(data) == 0 || string(data) == "null"
}

// scanner finds the ends of values from a position on.
type scanner struct {
	data []byte
	at   int
}

// each calls part at the beginning of each part between the brackets, which enclose the
// whole data.
func (s *scanner) each(opening, closing byte, part func() error) error {
	if !s.skip(opening) {
		return s.fault()
	}
	if s.skip(closing) {
		return s.end()
	}
	for {
		if err := part(); err != nil {
			return err
		}
		switch {
		case s.skip(closing):
			return s.end()
		case !s.skip(','):
			return s.fault()
		}
	}
}

func (s *scanner) fault() error { return fmt.Errorf("%w at byte %d", ErrSyntax, s.at) }

// end returns an error if data follows the closing bracket.
func (s *scanner) end() error {
	if s.skipSpace(); s.at < len(s.data) {
		return s.fault()
	}
	return nil
}

func (s *scanner) skipSpace() {
	for s.at < len(s.data) && isSpace(s.data[s.at]) {
		s.at++
	}
}

func isSpace(c byte) bool { return c == ' ' || c == '\t' || c == '\r' || c == '\n' }

// skip skips a byte after white space, and reports whether it is there.
func (s *scanner) skip(c byte) bool {
	if s.skipSpace(); s.at == len(s.data) || s.data[s.at] != c {
		return false
	}
	s.at++
	return true
}

// name skips the name of a member and the colon.
func (s *scanner) name() (string, error) {
	s.skipSpace()
	start := s.at
	if !s.skipText() {
		return "", s.fault()
	}
	text := s.data[start:s.at]
	if !s.skip(':') {
		return "", s.fault()
	}
	name := string(text[1 : len(text)-1])
	if bytes.IndexByte(text, '\\') >= 0 && json.Unmarshal(text, &name) != nil {
		return "", s.fault()
	}
	return name, nil
}

// skipText skips a text with its quotes, and reports whether it is there and complete.
func (s *scanner) skipText() bool {
	if s.at == len(s.data) || s.data[s.at] != '"' {
		return false
	}
	for s.at++; s.at < len(s.data); s.at++ {
		switch s.data[s.at] {
		case '\\':
			s.at++
		case '"':
			s.at++
			return true
		}
	}
	s.at = len(s.data)
	return false
}

// value skips one value and returns it.
func (s *scanner) value() (json.RawMessage, error) {
	s.skipSpace()
	start, depth := s.at, 0
	for s.at < len(s.data) {
		switch c := s.data[s.at]; c {
		case '"':
			if !s.skipText() {
				return nil, s.fault()
			}
			continue
		case '[', '{':
			depth++
		case ']', '}', ',':
			if depth == 0 {
				return s.valueFrom(start)
			}
			if c != ',' {
				depth--
			}
		}
		s.at++
	}
	// The bracket that encloses the value is missing.
	return nil, s.fault()
}

// valueFrom returns the value between a position and the current one.
func (s *scanner) valueFrom(start int) (json.RawMessage, error) {
	v := bytes.TrimSpace(s.data[start:s.at])
	if len(v) == 0 {
		return nil, s.fault()
	}
	return v[:len(v):len(v)], nil
}
