package engine

import (
	"encoding/binary"
	"hash/fnv"

	"oleandercove.example/core/unit"
)

// Seed is the random seed of a stream.
type Seed uint64

// Sampling holds the parameters by which the last stage samples tokens. With the same
// Sampling, a token depends only on the model, the tokens before it and its position,
// so that every engine samples the same token.
type Sampling struct {
	// Temperature 0 selects the most likely token and ignores the seed.
	Temperature float64 `json:",omitempty"`
	Seed        Seed    `json:",omitempty"`
}

// DeriveSeed derives the seed of a request whose caller sets none. It depends only on the
// request, so that every daemon derives the same one.
func DeriveSeed(a unit.AccountID, id unit.RequestID, model unit.EntryName, prompt string) Seed {
	h := fnv.New64a()
	for _, s := range []string{string(a), string(id), string(model), prompt} {
		// The length prefix separates neighbouring fields.
		_, _ = h.Write(binary.AppendUvarint(nil, uint64(len(s))))
		_, _ = h.Write([]byte(s))
	}
	return Seed(h.Sum64())
}
