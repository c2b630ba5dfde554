package pathfinder

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"oleandercove.example/core/backend"
	"oleandercove.example/core/routing"
	"oleandercove.example/core/unit"
	"oleandercove.example/oleandercove/edge/ledger"
)

var card = routing.Card{Name: "large", Memory: 72000, StepFactor: 2.4, PrefillFactor: 3.2}

func model() *routing.Engine {
	return &routing.Engine{
		Layers: 80, LayerMemory: 1750, TokenBytes: 918000, StepsPerPass: 3, StepTime: 1.02, RequestTime: 0.007,
		ContextTime: 0.0096, PrefillRate: 105, ActivationBytes: 45900, CentreLink: 26000, Slots: 192, TokenCapacity: 100000,
	}
}

func engine(id, dc string, from, to unit.Layer) Engine {
	return Engine{
		ID: unit.BackendID(id), Address: backend.Address(id), DataCentre: unit.DataCentre(dc),
		Layers: backend.Layers{From: from, To: to}, Card: card, Slowdown: 1,
	}
}

func loaded(e Engine, tokens unit.TokenLayers) Engine {
	e.Load = ledger.Load{Running: 10, Tokens: tokens}
	return e
}

func slow(e Engine, factor float64) Engine {
	e.Slowdown = factor
	return e
}

func names(c backend.Chain) string {
	out := ""
	for _, h := range c {
		out += fmt.Sprintf("%s:%s ", h.ID, h.Layers)
	}
	return out
}

// Guards against chains that miss layers or exceed an engine's capacity, and against
// costs that are ignored in the choice of a chain.
func TestFind(t *testing.T) {
	request := Request{PromptTokens: 760, OutputTokens: 200}
	tests := []struct {
		name    string
		engines []Engine
		request Request
		want    string
	}{
		{"a chain although no engine holds a layer", []Engine{engine("a", "x", 0, 30), engine("b", "x", 31, 80)}, request, ""},
		{"a chain that leaves the data centre without need", []Engine{
			engine("a", "x", 0, 40), engine("b", "x", 40, 80), engine("c", "y", 0, 40), slow(engine("d", "y", 40, 80), 1.2),
		}, request, "a:0-40 b:40-80 "},
		{"no chain although another data centre fills a gap", []Engine{
			engine("a", "x", 0, 40), engine("b", "x", 60, 80), engine("c", "y", 40, 60),
		}, request, "a:0-40 c:40-60 b:60-80 "},
		{"an engine that is much slower than one with the same layers", []Engine{
			engine("a", "x", 0, 40), slow(engine("b", "x", 40, 80), 5), engine("c", "x", 40, 80),
		}, request, "a:0-40 c:40-80 "},
		{"an engine without capacity for the request", []Engine{
			engine("a", "x", 0, 40), loaded(engine("b", "x", 40, 75), 900000), engine("c", "x", 40, 75), engine("d", "x", 75, 80),
		}, request, "a:0-40 c:40-75 d:75-80 "},
		{"a chain although no engine has capacity", []Engine{engine("a", "x", 0, 40), loaded(engine("b", "x", 40, 80), 1<<40)}, request, ""},
		{"a first engine other than the given one", []Engine{
			engine("a", "x", 0, 40), engine("b", "x", 0, 40), engine("c", "x", 40, 80),
		}, Request{PromptTokens: 760, OutputTokens: 200, FirstEngine: "b"}, "b:0-40 c:40-80 "},
	}
	// Bytes between the daemon's data centre and others are paid.
	near := func(slowdown float64) []Engine {
		return []Engine{slow(engine("a", "x", 0, 40), slowdown), slow(engine("b", "x", 40, 80), slowdown), engine("c", "y", 0, 40), engine("d", "y", 40, 80)}
	}
	fromX := request
	fromX.DataCentre = "x"
	for _, tt := range append(tests, []struct {
		name    string
		engines []Engine
		request Request
		want    string
	}{
		{"a chain in another data centre that saves little", near(1.05), fromX, "a:0-40 b:40-80 "},
		{"a slow chain although one in another data centre saves much", near(1.5), fromX, "c:0-40 d:40-80 "},
	}...) {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			p, ok := Find(model(), tt.engines, tt.request)
			is.Equal(ok, tt.want != "")
			is.Equal(names(p.Chain), tt.want)
		})
	}
}

// Guards against chains that skip, repeat or reorder layers, and against chains that
// use an engine twice or for layers that it does not hold.
func TestChains(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := model()
		m.Layers = 20
		var list []Engine
		for i := range rapid.IntRange(1, 14).Draw(t, "engines") {
			from := rapid.IntRange(0, 19).Draw(t, "from")
			to := rapid.IntRange(from+1, 20).Draw(t, "to")
			e := engine(fmt.Sprint(i), rapid.SampledFrom([]string{"x", "y"}).Draw(t, "centre"), unit.Layer(from), unit.Layer(to))
			e.Slowdown = rapid.Float64Range(1, 9).Draw(t, "slowdown")
			list = append(list, e)
		}
		p, ok := Find(m, list, Request{PromptTokens: 100, OutputTokens: 100})
		if !ok {
			return
		}
		at, seen := unit.Layer(0), map[unit.BackendID]bool{}
		for _, h := range p.Chain {
			for _, e := range list {
				if e.ID == h.ID && !e.Layers.Contains(h.Layers) {
					t.Fatalf("%s does not hold %s", h.ID, h.Layers)
				}
			}
			if h.Layers.From != at || seen[h.ID] {
				t.Fatalf("chain %s", names(p.Chain))
			}
			at, seen[h.ID] = h.Layers.To, true
		}
		if at != m.Layers {
			t.Fatalf("chain ends at %d", at)
		}
	})
}

// Guards against a full engine being chosen for a model that runs on one engine.
func TestFindSingle(t *testing.T) {
	is := is.New(t)
	full, free := engine("a", "x", 0, 0), engine("b", "x", 0, 0)
	full.Load = ledger.Load{Running: 100, Tokens: 99900}
	p, ok := FindSingle(model(), []Engine{full, free}, Request{PromptTokens: 760, OutputTokens: 200})
	is.True(ok)
	is.Equal(p.Chain[0].ID, unit.BackendID("b"))
	_, ok = FindSingle(model(), []Engine{full}, Request{PromptTokens: 760, OutputTokens: 200})
	is.True(!ok)
}

// Guards against a chain that crosses between data centres although the request
// excludes it because the link is saturated, and against crossings that aren't
// counted.
func TestSameCentre(t *testing.T) {
	is := is.New(t)
	m := model()
	engine := func(id unit.BackendID, dc unit.DataCentre, from, to unit.Layer) Engine {
		return Engine{ID: id, DataCentre: dc, Layers: backend.Layers{From: from, To: to}, Card: routing.Card{Memory: 72000, StepFactor: 1, PrefillFactor: 1}, Slowdown: 1}
	}
	crossing := []Engine{engine("a1", "a", 0, 40), engine("b1", "b", 40, m.Layers)}
	r := Request{PromptTokens: 100, OutputTokens: 100}
	p, ok := Find(m, crossing, r)
	is.True(ok)
	is.Equal(p.Crossings, 1)
	// An entry with layers that the model doesn't have must not hide valid ones.
	p, ok = Find(m, append(crossing, engine("strange", "a", m.Layers-10, m.Layers+10), engine("odd", "a", -5, 30)), r)
	is.True(ok)
	is.Equal(p.Crossings, 1)
	r.SameDataCentre = true
	_, ok = Find(m, crossing, r)
	is.True(!ok)
	p, ok = Find(m, append(crossing, engine("a2", "a", 40, m.Layers)), r)
	is.True(ok)
	is.Equal(p.Crossings, 0)
}

// Guards against streams that queue in one data centre while another one has no
// prefills queued, which happens when all streams of a lost copy are resumed at once.
func TestQueueDelay(t *testing.T) {
	is := is.New(t)
	prefilling := func(e Engine) Engine {
		e.Load = ledger.Load{Running: 20, Prefill: 20 * 800 * 40}
		return e
	}
	engines := []Engine{
		prefilling(engine("a", "x", 0, 40)), prefilling(engine("b", "x", 40, 80)),
		slow(engine("c", "y", 0, 40), 1.2), slow(engine("d", "y", 40, 80), 1.2),
	}
	p, ok := Find(model(), engines, Request{PromptTokens: 760, OutputTokens: 200, SameDataCentre: true, CountQueues: true})
	is.True(ok)
	is.Equal(names(p.Chain), "c:0-40 d:40-80 ")
}

// Guards against daemons that all choose the same copy of the model until its engines
// have no memory left, which happens when all callers return at once after a power
// failure, while each daemon knows only its own load.
func TestBurst(t *testing.T) {
	const daemons, requests, copies = 40, 8, 4
	tests := []struct {
		name   string
		others int
		// most is the largest share of the requests on one engine.
		most float64
	}{
		// An even spread puts a quarter on each copy.
		{"all daemons choose the same engines", daemons - 1, 0.35},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			random := rand.New(rand.NewPCG(14, 14))
			load := map[unit.BackendID]int{}
			for range daemons {
				l := ledger.New()
				l.SetOtherDaemons(tt.others)
				for range requests {
					var engines []Engine
					for i := range copies {
						e := slow(engine(fmt.Sprint("a", i), "x", 0, 40), 1+0.2*float64(i))
						e.Load, e.EstimatedLoad = l.Load(e.ID), l.EstimateUnreported(e.ID)
						engines = append(engines, e, engine(fmt.Sprint("b", i), "x", 40, 80))
					}
					p, ok := Find(model(), engines, Request{PromptTokens: 760, OutputTokens: 200, Random: random.Float64})
					is.True(ok)
					l.Begin(p.Items)
					load[p.Chain[0].ID]++
				}
			}
			for _, n := range load {
				is.True(float64(n) <= tt.most*daemons*requests)
			}
		})
	}
}

// Guards against memory that stays unused because the maximum length is counted for each
// output, and against more memory than a caller may use.
func TestExpectedOutput(t *testing.T) {
	tests := []struct {
		name                       string
		typical, maximum, estimate int
		want                       int
	}{
		{"the estimate of the caller", 200, 800, 350, 350},
		{"no estimate", 200, 800, 0, 200},
		{"an estimate above the maximum", 200, 800, 5000, 800},
		{"a typical output above the maximum", 200, 80, 0, 80},
		{"neither an estimate nor a typical output", 0, 800, 0, 800},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(ExpectedOutput(routing.TypicalRequest{OutputTokens: tt.typical}, tt.maximum, tt.estimate), tt.want)
		})
	}
}

// Guards against refusals while engines have memory, which happens when callers allow
// four times the output that they get and more requests arrive than fit.
func TestAdmitsExpectedLoad(t *testing.T) {
	const prompt, typical, maximum = 760, 200, 800
	is := is.New(t)
	m := model()
	m.Slots = 0
	e := engine("a", "x", 0, 40)
	fits := int(float64(Capacity(m, e)) / float64(40*(prompt+typical)))
	l := ledger.New()
	admitted := 0
	for range 2 * fits {
		list := []Engine{e, engine("b", "x", 40, 80)}
		for i := range list {
			list[i].Load = l.Load(list[i].ID)
		}
		p, ok := Find(m, list, Request{
			PromptTokens: prompt, OutputTokens: ExpectedOutput(routing.TypicalRequest{OutputTokens: typical}, maximum, 0),
		})
		if ok {
			admitted++
			l.Begin(p.Items)
		}
	}
	is.Equal(admitted, fits)
}

// Guards against requests that a full engine rejects one after the other, which happens
// while the layers that it released are still in use, and against callers that are refused
// although it has room again or another engine has.
func TestLimitedEngine(t *testing.T) {
	const load = 200000
	full := loaded(engine("a", "x", 0, 80), load)
	full.Limited, full.LoadLimit = true, load
	less := loaded(engine("a", "x", 0, 80), load/2)
	less.Limited, less.LoadLimit = true, load
	tests := []struct {
		name    string
		engines []Engine
		want    string
	}{
		{"the full engine alone", []Engine{full}, ""},
		{"another engine beside it", []Engine{full, loaded(engine("b", "x", 0, 80), 2*load)}, "b:0-80 "},
		{"less load than when it was full", []Engine{less}, "a:0-80 "},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			big := tt.engines
			for i := range big {
				big[i].Card.Memory *= 4
			}
			p, _ := Find(model(), big, Request{PromptTokens: 760, OutputTokens: 200})
			is.Equal(names(p.Chain), tt.want)
		})
	}
}

// Guards against less urgent requests that fill the fast engines, so that urgent ones run on slow
// engines for several times as long, and against slow engines that are used while fast ones are free.
func TestTimeWeight(t *testing.T) {
	fastCard, slowCard := routing.Card{Name: "fast", Memory: 200000, StepFactor: 1.4, PrefillFactor: 1}, routing.Card{Name: "slow", Memory: 200000, StepFactor: 8, PrefillFactor: 8}
	engines := func(utilisation float64) []Engine {
		fast, slow := engine("fast", "x", 0, 80), engine("slow", "x", 0, 80)
		fast.Card, slow.Card = fastCard, slowCard
		capacity := Capacity(model(), fast)
		return []Engine{loaded(fast, unit.TokenLayers(utilisation*float64(capacity))), loaded(slow, capacity/10)}
	}
	tests := []struct {
		name        string
		utilisation float64
		weight      float64
		want        string
	}{
		{"an urgent request leaves the fast engine before it is full", 0.95, 1, "fast:0-80 "},
		{"a less urgent request takes the last room of the fast engine", 0.95, 0.1, "slow:0-80 "},
		{"a less urgent request leaves a fast engine that is free", 0.2, 0.1, "fast:0-80 "},
		{"a request without a weight counts as less urgent", 0.95, 0, "fast:0-80 "},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			p, ok := Find(model(), engines(tt.utilisation), Request{PromptTokens: 760, OutputTokens: 200, TimeWeight: tt.weight})
			is.True(ok)
			is.Equal(names(p.Chain), tt.want)
		})
	}
}

// Guards against requests that take the room which they should leave to others, at engines with
// a part of the model and with all of it.
func TestHeldBack(t *testing.T) {
	m := model()
	e := engine("a", "x", 0, 80)
	e.Card.Memory = 200000
	e = loaded(e, unit.TokenLayers(0.95*float64(Capacity(m, e))))
	whole := model()
	whole.Layers = 0
	single := loaded(engine("a", "x", 0, 0), unit.TokenLayers(0.95*float64(whole.TokenCapacity)))
	tests := []struct {
		name     string
		heldBack float64
		want     bool
	}{
		{"a request that leaves nothing finds no room", 0, true},
		{"a request takes room that it should leave", 0.1, false},
		{"a request takes room of an engine that isn't half empty", 0.5, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := Request{PromptTokens: 760, OutputTokens: 200, HeldBack: tt.heldBack}
			_, ok := Find(m, []Engine{e}, r)
			is.Equal(ok, tt.want)
			_, ok = FindSingle(whole, []Engine{single}, r)
			is.Equal(ok, tt.want)
		})
	}
}
