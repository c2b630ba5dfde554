package operator

import (
	"encoding/json"
	"errors"
	"io"
	"math"
	"net/http"
	"strconv"

	"oleandercove.example/core/api"
	"oleandercove.example/core/unit"
	"oleandercove.example/core/verdict"
	"oleandercove.example/oleandercove/editor"
)

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

// refuse writes the verdict of an error. For a rejected edit it adds the current
// version, the faults, the conflicts and the changes since the expected version.
func (s *Server) refuse(w http.ResponseWriter, err error) {
	v, ok := verdict.FromError(err)
	if !ok {
		v = verdict.New(verdict.MayHaveRun, verdict.Internal, "%v", err)
	}
	body := api.EditRefused{Refusal: api.Refusal{Verdict: v.Verdict, Reason: v.Reason, Detail: v.Detail}}
	var r *editor.RefusedError
	if errors.As(err, &r) {
		body.Version, body.Faults, body.Conflicts, body.Changes = r.Version, r.Faults, r.Conflicts, r.Changes
	}
	s.options.Log.Info("refused a request of an operator", "verdict", v.Verdict, "reason", v.Reason, "detail", v.Detail)
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(api.HeaderVerdict, string(v.Verdict))
	if v.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(v.RetryAfter.Seconds()))))
	}
	w.WriteHeader(v.Reason.Status())
	_ = json.NewEncoder(w).Encode(body)
}

func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, verdict.New(verdict.NotRun, verdict.TooLarge, "body is limited to %d bytes", maxBodyBytes)
	}
	if err != nil {
		return nil, verdict.New(verdict.NotRun, verdict.BadRequest, "read body: %v", err)
	}
	return body, nil
}

// readJSON reads a bounded body and rejects unknown fields and trailing data.
func readJSON(w http.ResponseWriter, r *http.Request, out any) error {
	r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	err := d.Decode(out)
	if err == nil && d.More() {
		err = errors.New("data after the message")
	}
	if err != nil {
		return verdict.New(verdict.NotRun, verdict.BadRequest, "body: %v", err)
	}
	return nil
}

// expectedVersion reads the If-Version header; ok is false when it is missing.
func expectedVersion(r *http.Request) (v unit.Version, ok bool, err error) {
	text := r.Header.Get(api.HeaderIfVersion)
	if text == "" {
		return 0, false, nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, false, verdict.New(verdict.NotRun, verdict.BadRequest, "%s is not a version number", api.HeaderIfVersion)
	}
	return unit.Version(n), true, nil
}

// requireVersion reads the If-Version header and refuses a request without it.
func requireVersion(r *http.Request) (unit.Version, error) {
	v, ok, err := expectedVersion(r)
	if err == nil && !ok {
		err = verdict.New(verdict.NotRun, verdict.BadRequest, "%s is required; 0 creates an entry", api.HeaderIfVersion)
	}
	return v, err
}
