package operator

import (
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"oleandercove.example/core/api"
	"oleandercove.example/core/platform"
	"oleandercove.example/core/unit"
	"oleandercove.example/core/verdict"
	"oleandercove.example/oleandercove/marker"
	"oleandercove.example/oleandercove/recorder"
)

// retryAfter is how long an operator should wait before repeating a call that
// failed because the platform is unavailable.
const retryAfter = 5 * time.Second

func (s *Server) getHosts(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	hosts, err := s.options.Hosts(r.Context())
	if err != nil {
		s.refuse(w, verdict.New(verdict.NotRun, verdict.PlatformUnavailable, "host list: %v", err).WithRetryAfter(retryAfter))
		return
	}
	writeJSON(w, api.HostList{Hosts: hosts})
}

func (s *Server) getBackends(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	l := api.BackendList{Backends: []api.Backend{}}
	for _, b := range s.options.Backends.Backends() {
		l.Backends = append(l.Backends, api.Backend{
			ID: b.ID, Role: b.Role, Address: b.Address, DataCentre: b.DataCentre, Serves: b.Serves,
			Healthy: b.Healthy, Draining: b.Draining, InFlight: s.options.Tracker.InFlight(b.ID), Seen: b.Seen,
		})
	}
	writeJSON(w, l)
}

func (s *Server) getDump(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	writeJSON(w, s.options.Dumper.Dump())
}

func (s *Server) getExplanation(w http.ResponseWriter, _ *http.Request, p httprouter.Params) {
	x := api.Explanation{Request: unit.RequestID(p.ByName("id")), Host: s.options.Host, Events: []api.Event{}}
	for _, e := range s.options.Recorder.Explain(x.Request) {
		x.Events = append(x.Events, api.Event{
			At: e.At, Stamp: e.Stamp, Host: e.Host, Request: e.Request, Part: e.Part, Decision: e.Decision, Cause: e.Cause,
		})
	}
	writeJSON(w, x)
}

func describeDrain(d api.DrainRequest) string {
	if d.Cancel {
		return "cancel drain of " + d.Target
	}
	return "drain " + d.Target
}

// recordEdit records the outcome of an operator's edit or drain for explain.
func (s *Server) recordEdit(subject unit.RequestID, action, by string, err error) {
	e := recorder.Event{Request: subject, Part: "operator", Decision: recorder.DecisionEdit, Cause: action + " by " + by}
	if err != nil {
		e.Decision, e.Cause = recorder.DecisionEditRefused, "by "+by+": "+err.Error()
		if v, ok := verdict.FromError(err); !ok || v.Verdict == verdict.MayHaveRun {
			e.Decision = recorder.DecisionEditUnknown
		}
	}
	s.options.Recorder.Record(e)
}

func (s *Server) postDrain(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var body api.DrainRequest
	by, err := author(r)
	if err == nil {
		err = readJSON(w, r, &body)
	}
	var role platform.Role
	if err == nil {
		role, err = s.targetRole(r, body)
	}
	if err == nil {
		err = s.options.Marks.Set(r.Context(), marker.Mark{Target: body.Target, Role: role, Draining: !body.Cancel, By: by})
	}
	s.recordEdit(recorder.BackendSubject(unit.BackendID(body.Target)), describeDrain(body), by, err)
	if err != nil {
		s.refuse(w, err)
		return
	}
	writeJSON(w, api.DrainAccepted{Target: body.Target, Role: role})
}

// targetRole returns the role of a drain's target. It rejects a target that no
// daemon would drain and the canceling of a host's shutdown.
func (s *Server) targetRole(r *http.Request, d api.DrainRequest) (platform.Role, error) {
	for _, b := range s.options.Backends.Backends() {
		if string(b.ID) == d.Target {
			return b.Role, nil
		}
	}
	if d.Target != string(s.options.Host) {
		if err := s.checkEntryHost(r, d.Target); err != nil {
			return "", err
		}
	}
	if d.Cancel {
		return "", verdict.New(verdict.NotRun, verdict.BadRequest, "the shutdown of an entry host cannot be canceled")
	}
	return platform.RoleEntry, nil
}

// checkEntryHost returns an error unless the platform lists the target as an entry
// host.
func (s *Server) checkEntryHost(r *http.Request, target string) error {
	hosts, err := s.options.Hosts(r.Context())
	if err != nil {
		return verdict.New(verdict.NotRun, verdict.PlatformUnavailable, "host list: %v", err).WithRetryAfter(retryAfter)
	}
	for _, h := range hosts {
		if h.ID == target && h.Role == platform.RoleEntry {
			return nil
		}
	}
	return verdict.New(verdict.NotRun, verdict.UnknownEntry, "no backend server or entry host %q", target)
}
