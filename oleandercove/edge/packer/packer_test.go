package packer

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// TestPack guards against data that changes on its way, and against a peer that
// sends more than it may.
func TestPack(t *testing.T) {
	tests := []struct {
		name  string
		data  []byte
		limit int64
		err   error
	}{
		{"nothing", []byte{}, 10, nil},
		{"as much as allowed", bytes.Repeat([]byte("a"), 1000), 1000, nil},
		{"more than allowed", bytes.Repeat([]byte("a"), 1001), 1000, ErrTooLarge},
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

// TestDamaged guards against damaged data that is taken for a configuration.
func TestDamaged(t *testing.T) {
	is := is.New(t)
	packed, err := Pack([]byte(fmt.Sprint("a configuration ", 17)))
	is.NoErr(err)
	_, err = Unpack(packed[:len(packed)-3], 1000)
	is.True(err != nil)
	_, err = Unpack([]byte("no archive"), 1000)
	is.True(err != nil)
}
