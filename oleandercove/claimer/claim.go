package claimer

import (
	"encoding/json"
	"time"

	"oleandercove.example/core/unit"
)

// State is the state of a claim.
type State string

const (
	// Claimed means that the attempt may have run.
	Claimed State = "Claimed"
	// Released means that the attempt did not run.
	Released State = "Released"
	// Done means that the attempt ran and its response is known.
	Done State = "Done"
)

// Key identifies a booking: a hash of account, service and idempotency key.
type Key string

// Fingerprint is a hash of the parts of a request that a repeat must have in common with
// the first attempt.
type Fingerprint string

// AttemptID identifies one attempt of a booking.
type AttemptID string

// Response is the recorded response of a Done claim.
type Response struct {
	Status      int
	ContentType string `json:",omitempty"`
	Location    string `json:",omitempty"`
	Body        []byte `json:",omitempty"`
	// Long is true if the body is not stored.
	Long bool `json:",omitempty"`
}

// Claim is one row of a bucket.
type Claim struct {
	Key         Key
	Fingerprint Fingerprint
	Attempt     AttemptID
	Host        unit.HostID
	State       State
	At          time.Time
	Response    *Response `json:",omitempty"`
}

// content is the value of a bucket object. Rows are in the order of their arrival.
type content struct{ Claims []Claim }

func decode(value []byte) (content, error) {
	var c content
	if len(value) == 0 {
		return c, nil
	}
	err := json.Unmarshal(value, &c)
	return c, err
}

func (c *content) find(k Key) *Claim {
	for i := range c.Claims {
		if c.Claims[i].Key == k {
			return &c.Claims[i]
		}
	}
	return nil
}

// trim removes the rows that are older than oldest.
func (c *content) trim(oldest time.Time) {
	kept := make([]Claim, 0, len(c.Claims)+1)
	for _, r := range c.Claims {
		if !r.At.Before(oldest) {
			kept = append(kept, r)
		}
	}
	c.Claims = kept
}

// size estimates the encoded length of the rows in bytes.
func (c *content) size() int {
	n := 0
	for _, r := range c.Claims {
		n += rowBytes
		if r.Response != nil {
			n += len(r.Response.Body)*4/3 + len(r.Response.ContentType) + len(r.Response.Location)
		}
	}
	return n
}
