package platform

import (
	"errors"
	"strings"
)

// MaxNameLength bounds an id and other names of hosts and backend servers, in bytes. Ids are
// sent in the headers of requests and in beacons, which are datagrams.
const MaxNameLength = 256

var errID = errors.New("id is empty, too long or not printable ASCII")

// CheckID returns an error for an id that can't be sent in a header.
func CheckID(id string) error {
	unprintable := func(r rune) bool { return r <= ' ' || r > '~' }
	if id == "" || len(id) > MaxNameLength || strings.ContainsFunc(id, unprintable) {
		return errID
	}
	return nil
}
