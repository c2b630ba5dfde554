package runner

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"

	"oleandercove.example/core/engine"
	"oleandercove.example/core/unit"
)

// vocabulary is the number of token ids of the toy model.
const vocabulary = 4096

// Tokenize splits a prompt into token ids, one for each word.
func Tokenize(prompt string) []unit.Token {
	words := strings.Fields(prompt)
	tokens := make([]unit.Token, len(words))
	for i, w := range words {
		tokens[i] = unit.Token(xxhash.Sum64String(w) % vocabulary)
	}
	return tokens
}

// Text returns the text of a generated token.
func Text(t unit.Token) string { return fmt.Sprintf("t%d ", t) }

func embed(t unit.Token) engine.Activation { return engine.Activation(mix(uint64(t), 0x9e37)) }

// sample chooses the token that follows position p.
func sample(a engine.Activation, s engine.Sampling, p unit.Position) unit.Token {
	x := uint64(a)
	if s.Temperature > 0 {
		x = mix(x, mix(uint64(s.Seed), uint64(p)))
	}
	return unit.Token(x % vocabulary)
}

func mix(a, b uint64) uint64 {
	x := a*0x9e3779b97f4a7c15 + b + 0x7f4a7c15
	x ^= x >> 29
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 32
	return x
}

// runLayers runs one position through the layers from first on. The state of each layer
// depends on all positions that it ran, in order, so that a duplicated, skipped or
// reordered execution changes every later token.
func runLayers(state []uint64, first unit.Layer, in engine.Activation) engine.Activation {
	x := uint64(in)
	for i := range state {
		state[i] = mix(state[i], x+uint64(int(first)+i))
		x = mix(x, state[i])
	}
	return engine.Activation(x)
}

// Reference computes an answer of n tokens of the toy model without engines, so that a
// caller can check the text that it received.
func Reference(layers unit.Layer, s engine.Sampling, prompt string, n int) []unit.Token {
	state := make([]uint64, layers)
	var out engine.Activation
	input := Tokenize(prompt)
	for _, t := range input {
		out = runLayers(state, 0, embed(t))
	}
	answer := make([]unit.Token, 0, n)
	for i := range n {
		t := sample(out, s, unit.Position(len(input)+i-1))
		answer = append(answer, t)
		out = runLayers(state, 0, embed(t))
	}
	return answer
}

// ReferenceText returns the text of Reference at temperature 0.
func ReferenceText(layers unit.Layer, prompt string, n int) string {
	return SampledText(layers, engine.Sampling{}, prompt, n)
}

// SampledText returns the text of Reference.
func SampledText(layers unit.Layer, s engine.Sampling, prompt string, n int) string {
	var b strings.Builder
	for _, t := range Reference(layers, s, prompt, n) {
		b.WriteString(Text(t))
	}
	return b.String()
}
