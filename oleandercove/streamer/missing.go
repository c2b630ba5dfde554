package streamer

import (
	"fmt"

	"oleandercove.example/core/engine"
	"oleandercove.example/core/unit"
)

// checkMissing returns the failure of the first stage if an event shows that tokens before
// it are missing, else nil. Events arrive in order on one connection, so that they don't come
// later.
func (t *tokenStream) checkMissing(e engine.Event) *engine.Failure {
	if e.Epoch != t.epoch || e.Stream != t.id {
		return nil
	}
	n := len(t.emitted)
	next := t.firstPosition + unit.Position(n)
	switch {
	case e.Kind == engine.EventToken && n > 0 && e.Position > next:
		return t.missingTokens("token at position %d instead of %d", e.Position, next)
	case e.Kind == engine.EventEnd && e.Finish == engine.FinishLength && n < t.r.Completion.MaxTokens:
		return t.missingTokens("end after %d of %d tokens", n, t.r.Completion.MaxTokens)
	default:
		return nil
	}
}

func (t *tokenStream) missingTokens(format string, args ...any) *engine.Failure {
	return &engine.Failure{Backend: t.chain[0].Backend, Cause: engine.CauseRefused, Detail: fmt.Sprintf(format, args...)}
}
