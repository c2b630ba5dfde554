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

// completionWriter writes a completion to the caller, as a stream or as one
// response.
type completionWriter struct {
	w       http.ResponseWriter
	id      unit.RequestID
	model   string
	chat    bool
	stream  bool
	created int64
	started bool
	text    strings.Builder
}

// writeToken sends a token to a streaming caller; otherwise it collects the text
// for writeEnd.
func (a *completionWriter) writeToken(text string) error {
	if !a.stream {
		a.text.WriteString(text)
		return nil
	}
	a.startStream()
	return a.writeEvent(a.chunk(text, nil))
}

func (a *completionWriter) startStream() {
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

func (a *completionWriter) writeEvent(v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	setWriteDeadline(a.w)
	if _, err := a.w.Write([]byte("data: " + string(b) + "\n\n")); err != nil {
		return err
	}
	return http.NewResponseController(a.w).Flush()
}

func (a *completionWriter) chunk(text string, finish *string) api.Completion {
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

// writeEnd ends a complete stream with the last event and the end mark, or writes
// the whole response.
func (a *completionWriter) writeEnd(c *request.Completion) {
	reason := string(c.Finish)
	usage := &api.Usage{CompletionTokens: c.Tokens}
	if a.stream {
		a.startStream()
		last := a.chunk("", &reason)
		last.Usage = usage
		_ = a.writeEvent(last)
		_, _ = a.w.Write([]byte("data: [DONE]\n\n"))
		return
	}
	setWriteDeadline(a.w)
	a.w.Header().Set("Content-Type", "application/json")
	a.w.Header().Set(api.HeaderRequestID, string(a.id))
	full := a.chunk(a.text.String(), &reason)
	full.Usage = usage
	if a.chat {
		full.Object = "chat.completion"
		full.Choices[0].Message, full.Choices[0].Delta = full.Choices[0].Delta, nil
	}
	_ = json.NewEncoder(a.w).Encode(full)
}

// streamError is the last event of a stream that failed.
type streamError struct {
	Error api.Refusal `json:"error"`
}

// writeError ends a started stream with an error event instead of the end mark.
func (a *completionWriter) writeError(v *verdict.Error) {
	_ = a.writeEvent(streamError{Error: refusalBody(v)})
}
