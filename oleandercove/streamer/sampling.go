package streamer

import "oleandercove.example/core/engine"

// sampling returns the sampling parameters. They depend only on the request, so that every
// attempt, and every daemon at which the caller resumes, produces the same tokens.
func (t *tokenStream) sampling() engine.Sampling {
	c := t.r.Completion
	if c.Seed != nil {
		return engine.Sampling{Temperature: c.Temperature, Seed: engine.Seed(*c.Seed)}
	}
	return engine.Sampling{Temperature: c.Temperature, Seed: engine.DeriveSeed(t.r.Account, t.r.ID, t.r.Name, c.Prompt)}
}
