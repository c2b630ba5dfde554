package packer

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// Guards against data that changes by compression, and against a peer that sends more
// than the limit.
func TestPack(t *testing.T) {
	tests := []struct {
		name  string
		data  []byte
		limit int64
		err   error
	}{
		{"empty data is an error", []byte{}, 10, nil},
		{"data of exactly the limit is refused", bytes.Repeat([]byte("a"), 1000), 1000, nil},
		{"data above the limit is accepted", bytes.Repeat([]byte("a"), 1001), 1000, ErrTooLarge},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			packed, err := Pack(tt.data)
			is.NoErr(err)
			got, err := Unpack(packed, tt.limit)
			is.Equal(err, tt.err)
			if tt.err == nil {
				is.Equal(got, tt.data)
			}
		})
	}
}

// Guards against a daemon that reads only the first of two parts that were packed apart.
func TestPartsFollowEachOther(t *testing.T) {
	is := is.New(t)
	for range 2 { // the second time with writers that were used before
		first, err := Pack([]byte("all servers, "))
		is.NoErr(err)
		second, err := Wrap([]byte("and their age"))
		is.NoErr(err)
		got, err := Unpack(append(first, second...), 100)
		is.NoErr(err)
		is.Equal(string(got), "all servers, and their age")
	}
}

// Guards against corrupted data that is accepted as a configuration.
func TestCorruptedData(t *testing.T) {
	is := is.New(t)
	packed, err := Pack([]byte(fmt.Sprint("a configuration ", 17)))
	is.NoErr(err)
	_, err = Unpack(packed[:len(packed)-3], 1000)
	is.True(err != nil)
	_, err = Unpack([]byte("no archive"), 1000)
	is.True(err != nil)
}
