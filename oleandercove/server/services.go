package server

import (
	"context"
	"net/http"

	"github.com/julienschmidt/httprouter"

	"oleandercove.example/core/api"
	"oleandercove.example/core/catalogue"
	"oleandercove.example/core/unit"
	"oleandercove.example/oleandercove/request"
)

func (s *Server) handleService(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	q, ok := s.startRequest(w, r, catalogue.KindService)
	if !ok {
		return
	}
	body, err := readBody(w, r)
	if err != nil {
		s.refuse(w, q, err)
		return
	}
	q.Name = unit.EntryName(p.ByName("name"))
	q.Call = &request.Call{Method: r.Method, Path: p.ByName("path"), Query: r.URL.RawQuery, Header: r.Header, Body: body}
	ctx, cancel := context.WithDeadline(r.Context(), q.Deadline)
	defer cancel()
	if err := s.options.Handler(ctx, q); err != nil {
		s.refuse(w, q, err)
		return
	}
	s.reportDone(q, nil)
	writeResult(w, q)
}

func writeResult(w http.ResponseWriter, q *request.Request) {
	res := q.Call.Result
	setWriteDeadline(w)
	for _, k := range []string{"Content-Type", "Location", "Retry-After", api.HeaderVerdict} {
		if v := res.Header.Get(k); v != "" {
			w.Header().Set(k, v)
		}
	}
	w.Header().Set(api.HeaderRequestID, string(q.ID))
	w.WriteHeader(res.Status)
	_, _ = w.Write(res.Body)
}
