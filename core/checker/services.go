package checker

import (
	"oleandercove.example/core/routing"
)

// maxRanks is the number of urgencies that backend servers distinguish.
const maxRanks = 10

// checkServices checks each service, and whether routes lead to it.
func (f *findings) checkServices(c *routing.Configuration) {
	names := index{}
	used := map[routing.ServiceName]bool{}
	for i := range c.Routes {
		for _, s := range c.Routes[i].Shares {
			used[s.Service] = used[s.Service] || s.Weight > 0
		}
	}
	table := c.Table()
	for i := range c.Services {
		s := &c.Services[i]
		at := Subject{Kind: KindService, Index: i, Name: string(s.Name)}
		if s.Name == "" {
			f.add(Error, at, "Name", "the service has no name, so no route leads to it")
			continue
		}
		if first, ok := names.addUnique(string(s.Name), i); !ok {
			f.add(Error, at, "Name", "service %d has this name, too, and the last one counts", first)
		}
		if !used[s.Name] {
			f.add(Warning, at, "", "never gets a request: no route leads to it with a weight above 0")
		}
		if n := table.Ranks(s.Name); n > maxRanks {
			f.add(Warning, at, "", "its requests have %d urgencies, and backend servers treat all from the tenth on alike", n)
		}
		if s.Engine != nil {
			f.checkEngine(at, s)
		}
	}
}

// checkEngine checks the model of a service.
func (f *findings) checkEngine(at Subject, s *routing.Service) {
	m := s.Engine
	if s.MaxConnections > 0 && m.Slots > s.MaxConnections {
		f.add(Warning, at, "MaxConnections", "%d connections are fewer than the %d slots of an engine, which stay unused", s.MaxConnections, m.Slots)
	}
	if m.TokenCapacity > 0 && m.TypicalRequest.Tokens() > m.TokenCapacity {
		f.add(Warning, at, "Engine.TokenCapacity", "a typical request has %d tokens, and an engine holds %d", m.TypicalRequest.Tokens(), m.TokenCapacity)
	}
	if !m.Chained() {
		return
	}
	if m.LayerMemory <= 0 {
		f.add(Error, at, "Engine.LayerMemory", "layers without memory can't be placed")
	}
	if m.PrefillRate <= 0 {
		f.add(Warning, at, "Engine.PrefillRate", "without a prefill rate, times to the first event are unknown")
	}
	if len(m.Cards) == 0 {
		f.add(Error, at, "Engine.Cards", "no kind of card is known, so no engine holds a layer")
	}
	cards := index{}
	for i, k := range m.Cards {
		if k.Memory < m.LayerMemory {
			f.add(Warning, at, "Engine.Cards", "card %q never holds a layer: it has %.0f MB, and a layer %.0f MB", k.Name, k.Memory, m.LayerMemory)
		}
		if _, ok := cards.addUnique(string(k.Name), i); !ok {
			f.add(Error, at, "Engine.Cards", "card %q is described twice", k.Name)
		}
	}
}
