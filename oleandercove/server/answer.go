package server

import (
	"encoding/json"
	"net/http"
	"strings"

	"oleandercove.example/core/api"
	"oleandercove.example/core/unit"
	"oleandercove.example/core/verdict"
	"oleandercove.example/oleandercove/request"
)

// answer writes a completion to the caller, streamed or whole.
type answer struct {
	w       http.ResponseWriter
	id      unit.RequestID
	model   string
	chat    bool
	stream  bool
	created int64
	started bool
	text    strings.Builder
}

// emit passes a token on; a whole answer collects the text first.
func (a *answer) emit(text string) error {
	if !a.stream {
		a.text.WriteString(text)
		return nil
	}
	a.start()
	return a.event(a.chunk(text, nil))
}

func (a *answer) start() {
	if a.started {
		return
	}
	a.started = true
	h := a.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	h.Set(api.HeaderRequestID, string(a.id))
	a.w.WriteHeader(http.StatusOK)
}

func (a *answer) event(v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	limitWrite(a.w)
	if _, err := a.w.Write([]byte("data: " + string(b) + "\n\n")); err != nil {
		return err
	}
	return http.NewResponseController(a.w).Flush()
}

func (a *answer) chunk(text string, finish *string) api.Completion {
	c := api.Choice{FinishReason: finish}
	object := "text_completion"
	if a.chat {
		object = "chat.completion.chunk"
		c.Delta = &api.Message{Role: "assistant", Content: text}
	} else {
		c.Text = text
	}
	return api.Completion{ID: string(a.id), Object: object, Created: a.created, Model: a.model, Choices: []api.Choice{c}}
}

// finish writes the end mark of a complete answer.
func (a *answer) finish(c *request.Completion) {
	reason := string(c.Finish)
	usage := &api.Usage{CompletionTokens: c.Tokens}
	if a.stream {
		a.start()
		last := a.chunk("", &reason)
		last.Usage = usage
		_ = a.event(last)
		_, _ = a.w.Write([]byte("data: [DONE]\n\n"))
		return
	}
	limitWrite(a.w)
	a.w.Header().Set("Content-Type", "application/json")
	a.w.Header().Set(api.HeaderRequestID, string(a.id))
	whole := a.chunk(a.text.String(), &reason)
	whole.Usage = usage
	if a.chat {
		whole.Object = "chat.completion"
		whole.Choices[0].Message, whole.Choices[0].Delta = whole.Choices[0].Delta, nil
	}
	_ = json.NewEncoder(a.w).Encode(whole)
}

// streamError is the last event of a stream that can't be finished.
type streamError struct {
	Error api.Refusal `json:"error"`
}

// fail ends a started stream with an explicit error instead of the end mark.
func (a *answer) fail(v *verdict.Error) {
	_ = a.event(streamError{Error: refusal(v)})
}
