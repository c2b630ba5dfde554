package platform

import (
	"encoding/json"
	"errors"
	"net/url"
	"strconv"
	"sync"

	"github.com/charmbracelet/log"

	"oleandercove.example/core/logger"
	"oleandercove.example/core/splitter"
)

var (
	errHostRole    = errors.New("unknown role or state")
	errHostAddress = errors.New("address has no host or no valid port")
	errHostTwice   = errors.New("id is listed twice")
)

// hostRow is a row of the host list, or the reason why it can't be used.
type hostRow struct {
	host Host
	text []byte
	err  error
}

// hostRows are the rows of the host list.
type hostRows []hostRow

func (h *hostRows) decode(data []byte) error {
	rows, err := splitter.Elements(data)
	seen := map[string]bool{}
	for _, text := range rows {
		r := hostRow{text: text}
		if r.err = json.Unmarshal(text, &r.host); r.err == nil {
			r.err = r.host.check()
		}
		if r.err == nil && seen[r.host.ID] {
			r.err = errHostTwice
		}
		seen[r.host.ID] = seen[r.host.ID] || r.err == nil
		*h = append(*h, r)
	}
	return err
}

// check returns an error for a row that describes no host, as another writer may leave it.
// An entry host that serves no peers has no address.
func (h Host) check() error {
	if err := CheckID(h.ID); err != nil {
		return err
	}
	switch {
	case h.Role != RoleEntry && h.Role != RoleEngine && h.Role != RoleService:
		return errHostRole
	case h.State != HostLive && h.State != HostLeaving:
		return errHostRole
	case h.Address == "" && h.Role == RoleEntry:
		return nil
	}
	u, err := url.Parse("http://" + h.Address)
	if err != nil || u.Hostname() == "" || u.User != nil || u.RawQuery != "" || u.Fragment != "" {
		return errHostAddress
	}
	if port, err := strconv.ParseUint(u.Port(), 10, 16); err != nil || port == 0 {
		return errHostAddress
	}
	return nil
}

// oddHosts logs the rows of the host list that are ignored, each once.
type oddHosts struct {
	log    *log.Logger
	mu     sync.Mutex
	logged map[string]bool
}

// sound returns the hosts of the rows that can be used, and logs the others that the last
// list didn't have.
func (x *oddHosts) sound(rows hostRows) []Host {
	x.mu.Lock()
	defer x.mu.Unlock()
	hosts, odd := make([]Host, 0, len(rows)), map[string]bool{}
	for _, r := range rows {
		if r.err == nil {
			hosts = append(hosts, r.host)
			continue
		}
		text := logger.Shorten(string(r.text))
		if x.log != nil && !x.logged[text] && !odd[text] {
			x.log.Warn("host list row ignored", "row", text, "err", logger.Shorten(r.err.Error()))
		}
		odd[text] = true
	}
	x.logged = odd
	return hosts
}
