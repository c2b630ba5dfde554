package operator

import (
	"fmt"
	"net/http"
	"slices"

	"github.com/julienschmidt/httprouter"

	"oleandercove.example/core/api"
	"oleandercove.example/core/catalogue"
	"oleandercove.example/core/unit"
	"oleandercove.example/core/verdict"
	"oleandercove.example/oleandercove/recorder"
)

var kinds = []catalogue.Kind{catalogue.KindAccount, catalogue.KindModel, catalogue.KindService}

// listEntries lists the entries that this daemon applies now; it works without the
// platform.
func (s *Server) listEntries(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	l := api.EntryList{Entries: []api.EntryView{}}
	kindFilter := catalogue.Kind(r.URL.Query().Get("kind"))
	for _, k := range kinds {
		if kindFilter != "" && kindFilter != k {
			continue
		}
		for _, e := range s.options.Catalogue.List(k) {
			l.Entries = append(l.Entries, api.EntryView{Version: e.Version, Entry: *e})
		}
	}
	writeJSON(w, l)
}

func entryKey(p httprouter.Params) (catalogue.Key, error) {
	k := catalogue.Key{Kind: catalogue.Kind(p.ByName("kind")), Name: unit.EntryName(p.ByName("name"))}
	if !slices.Contains(kinds, k.Kind) {
		return k, verdict.New(verdict.NotRun, verdict.UnknownEntry, "no kind %q; kinds are %v", k.Kind, kinds)
	}
	return k, nil
}

func (s *Server) getEntry(w http.ResponseWriter, _ *http.Request, p httprouter.Params) {
	k, err := entryKey(p)
	if err != nil {
		s.refuse(w, err)
		return
	}
	e, ok := s.options.Catalogue.Get(k.Kind, k.Name)
	if !ok {
		s.refuse(w, verdict.New(verdict.NotRun, verdict.UnknownEntry, "no entry %s %s", k.Kind, k.Name))
		return
	}
	writeJSON(w, api.EntryView{Version: e.Version, Entry: *e})
}

// getHistory reads the entry from the platform, because only the platform returns
// deleted entries. If that fails, it uses the daemon's copy.
func (s *Server) getHistory(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	k, err := entryKey(p)
	if err != nil {
		s.refuse(w, err)
		return
	}
	e, err := s.options.Editor.Read(r.Context(), k)
	if err != nil {
		if local, ok := s.options.Catalogue.Get(k.Kind, k.Name); ok {
			e, err = local, nil
		}
	}
	if err == nil && e == nil {
		err = verdict.New(verdict.NotRun, verdict.UnknownEntry, "no entry %s %s", k.Kind, k.Name)
	}
	if err != nil {
		s.refuse(w, err)
		return
	}
	writeJSON(w, api.EntryHistory{Kind: k.Kind, Name: k.Name, Version: e.Version, Deleted: e.Deleted, Changes: e.History})
}

// edit runs an edit, records it and writes its outcome. run gets the key of the
// entry and the name of the operator.
func (s *Server) edit(w http.ResponseWriter, r *http.Request, p httprouter.Params, run func(catalogue.Key, string) (api.EditAccepted, error)) {
	k, err := entryKey(p)
	if err != nil {
		s.refuse(w, err)
		return
	}
	by, err := author(r)
	if err != nil {
		s.refuse(w, err)
		return
	}
	a, err := run(k, by)
	s.recordEdit(recorder.EntrySubject(k.ObjectName()), fmt.Sprint("version ", a.Version, " fields ", a.Fields), by, err)
	if err != nil {
		s.refuse(w, err)
		return
	}
	writeJSON(w, a)
}

func (s *Server) putEntry(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	s.edit(w, r, p, func(k catalogue.Key, by string) (a api.EditAccepted, err error) {
		expected, err := requireVersion(r)
		if err != nil {
			return a, err
		}
		body, err := readBody(w, r)
		if err != nil {
			return a, err
		}
		e, err := catalogue.Decode(body, expected)
		if err != nil {
			return a, verdict.New(verdict.NotRun, verdict.BadRequest, "%v", err)
		}
		if e.Kind == "" {
			e.Kind = k.Kind
		}
		if e.Name == "" {
			e.Name = k.Name
		}
		if e.Key() != k {
			return a, verdict.New(verdict.NotRun, verdict.BadRequest, "entry is %s %s, path names %s %s", e.Kind, e.Name, k.Kind, k.Name)
		}
		return s.options.Editor.Replace(r.Context(), e, expected, by)
	})
}

func (s *Server) patchEntry(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	s.edit(w, r, p, func(k catalogue.Key, by string) (a api.EditAccepted, err error) {
		v, ok, err := expectedVersion(r)
		if err != nil {
			return a, err
		}
		var expected *unit.Version
		if ok {
			expected = &v
		}
		var body api.EntryPatch
		if err := readJSON(w, r, &body); err != nil {
			return a, err
		}
		if len(body.Set) == 0 {
			return a, verdict.New(verdict.NotRun, verdict.BadRequest, "Set names no field")
		}
		return s.options.Editor.Patch(r.Context(), k, body.Set, expected, by)
	})
}

func (s *Server) deleteEntry(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	s.edit(w, r, p, func(k catalogue.Key, by string) (a api.EditAccepted, err error) {
		expected, err := requireVersion(r)
		if err != nil {
			return a, err
		}
		return s.options.Editor.Delete(r.Context(), k, expected, by)
	})
}
