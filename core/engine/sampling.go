package engine

import (
	"encoding/binary"
	"hash/fnv"

	"oleandercove.example/core/unit"
)

// Seed fixes the random choices of a stream.
type Seed uint64

// Sampling says how the last stage chooses tokens. With the same Sampling, a
// token depends only on the model, the tokens before it and its position, so
// that any engine repeats the choice of another one.
type Sampling struct {
	// Temperature 0 takes the most likely token and ignores the seed.
	Temperature float64 `json:",omitempty"`
	Seed        Seed    `json:",omitempty"`
}

// SeedOf returns the seed of a request whose caller names none. It depends on
// nothing but the request, so that every daemon derives the same one.
func SeedOf(a unit.AccountID, id unit.RequestID, model unit.EntryName, prompt string) Seed {
	h := fnv.New64a()
	for _, s := range []string{string(a), string(id), string(model), prompt} {
		// The length keeps neighbouring fields apart.
		_, _ = h.Write(binary.AppendUvarint(nil, uint64(len(s))))
		_, _ = h.Write([]byte(s))
	}
	return Seed(h.Sum64())
}
