package streamer

import "oleandercove.example/core/engine"

// sampling is a pure function of the request: every attempt, and every daemon
// at which the caller resumes, gets the same tokens.
func (t *run) sampling() engine.Sampling {
	c := t.r.Completion
	if c.Seed != nil {
		return engine.Sampling{Temperature: c.Temperature, Seed: engine.Seed(*c.Seed)}
	}
	return engine.Sampling{Temperature: c.Temperature, Seed: engine.SeedOf(t.r.Account, t.r.ID, t.r.Name, c.Prompt)}
}
