package server

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/julienschmidt/httprouter"

	"oleandercove.example/core/api"
	"oleandercove.example/core/catalogue"
	"oleandercove.example/core/unit"
	"oleandercove.example/core/verdict"
	"oleandercove.example/oleandercove/request"
)

// maxTemperature is the highest temperature in the OpenAI-compatible protocol.
const maxTemperature = 2

func (s *Server) handleChat(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	s.serveCompletion(w, r, true)
}

func (s *Server) handleCompletion(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	s.serveCompletion(w, r, false)
}

func (s *Server) serveCompletion(w http.ResponseWriter, r *http.Request, chat bool) {
	q, ok := s.startRequest(w, r, catalogue.KindModel)
	if !ok {
		return
	}
	m, err := readCompletion(w, r, chat)
	if err != nil {
		s.refuse(w, q, err)
		return
	}
	q.Name = unit.EntryName(m.Model)
	a := &completionWriter{w: w, id: q.ID, model: m.Model, chat: chat, stream: m.Stream, created: q.Arrived.Unix()}
	q.Completion = &request.Completion{
		Prompt: promptText(m), MaxTokens: m.MaxTokens, Temperature: m.Temperature, Seed: m.Seed, Emit: a.writeToken,
	}
	if q.Completion.Resume, err = parseResumePosition(r.Header, m.Stream); err != nil {
		s.refuse(w, q, err)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), q.Deadline)
	defer cancel()
	if err := s.options.Handler(ctx, q); err != nil {
		if a.started {
			s.reportDone(q, err)
			a.writeError(asVerdict(err))
			return
		}
		s.refuse(w, q, err)
		return
	}
	s.reportDone(q, nil)
	a.writeEnd(q.Completion)
}

// parseResumePosition returns the number of tokens that the caller already has.
// The response is a function of the request id, so a resume needs the id.
func parseResumePosition(h http.Header, stream bool) (int, error) {
	value := h.Get(api.HeaderResume)
	if value == "" {
		return 0, nil
	}
	if h.Get(api.HeaderRequestID) == "" || !stream {
		return 0, verdict.New(verdict.NotRun, verdict.BadRequest, "%s needs %s and a streamed completion", api.HeaderResume, api.HeaderRequestID)
	}
	n, err := strconv.Atoi(value)
	if err != nil || n < 0 {
		return 0, verdict.New(verdict.NotRun, verdict.BadRequest, "%s must be a number of tokens", api.HeaderResume)
	}
	return n, nil
}

func readCompletion(w http.ResponseWriter, r *http.Request, chat bool) (*api.CompletionRequest, error) {
	body, err := readBody(w, r)
	if err != nil {
		return nil, err
	}
	return parseCompletion(body, chat)
}

// parseCompletion decodes and checks the body of a completion request. The error
// is a *verdict.Error with NotRun.
func parseCompletion(body []byte, chat bool) (*api.CompletionRequest, error) {
	m := &api.CompletionRequest{}
	if err := json.Unmarshal(body, m); err != nil {
		return nil, verdict.New(verdict.NotRun, verdict.BadRequest, "body is not a valid completion request: %v", err)
	}
	if m.MaxTokens < 0 {
		return nil, verdict.New(verdict.NotRun, verdict.BadRequest, "max_tokens must not be negative")
	}
	if m.Temperature < 0 || m.Temperature > maxTemperature {
		return nil, verdict.New(verdict.NotRun, verdict.BadRequest, "temperature must be from 0 to %d", maxTemperature)
	}
	if m.Model == "" || strings.TrimSpace(promptText(m)) == "" {
		return nil, verdict.New(verdict.NotRun, verdict.BadRequest, "model and %s are required", inputField(chat))
	}
	return m, nil
}

func inputField(chat bool) string {
	if chat {
		return "messages"
	}
	return "prompt"
}

func promptText(m *api.CompletionRequest) string {
	if len(m.Messages) == 0 {
		return m.Prompt
	}
	parts := make([]string, len(m.Messages))
	for i, c := range m.Messages {
		parts[i] = c.Role + ": " + c.Content
	}
	return strings.Join(parts, "\n")
}

func (s *Server) handleModels(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	q, ok := s.startRequest(w, r, catalogue.KindModel)
	if !ok {
		return
	}
	s.reportDone(q, nil)
	l := api.ModelList{Object: "list", Data: []api.ModelInfo{}}
	for _, e := range s.options.Catalogue.List(catalogue.KindModel) {
		l.Data = append(l.Data, api.ModelInfo{ID: string(e.Name), Object: "model", OwnedBy: e.Owner})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(l)
}
