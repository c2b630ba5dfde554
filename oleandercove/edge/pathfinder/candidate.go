package pathfinder

import (
	"oleandercove.example/core/routing"
	"oleandercove.example/core/unit"
)

// Capacity returns the memory of an engine beside its layers, in tokens times layers.
func Capacity(m *routing.Engine, e Engine) unit.TokenLayers {
	free := float64(e.Card.Memory) - float64(m.LayerMemory)*float64(e.Layers.Len())
	perToken := m.TokenBytes / float64(m.Layers)
	if free <= 0 || perToken <= 0 {
		return 0
	}
	return unit.TokenLayers(free * bytesPerMegabyte / perToken)
}

// freeMemory returns the memory that is left for another request, of the given capacity.
func (e Engine) freeMemory(capacity unit.TokenLayers) float64 {
	if e.Limited {
		capacity = min(capacity, e.LoadLimit)
	}
	return float64(capacity - e.Load.Tokens)
}

// usableMemory returns the part of the free memory that a request may use.
func (e Engine) usableMemory(capacity unit.TokenLayers, r Request) float64 {
	return e.freeMemory(capacity) - r.HeldBack*float64(capacity)
}

// candidate is an engine with its expected times, in milliseconds.
type candidate struct {
	Engine
	// prefill and decode are for one layer; queueDelay is half of the time for all
	// queued prefills of the engine.
	prefill, queueDelay, decode float64
	// cost is for one layer; layerCapacity is the number of layers for which the engine
	// has memory for the request.
	cost          float64
	layerCapacity int
}

func newCandidate(m *routing.Engine, e Engine, r Request) candidate {
	layers := float64(m.Layers)
	c := candidate{Engine: e}
	share := float64(e.Layers.Len()) / layers
	perToken := e.Card.PrefillFactor * e.Slowdown / (m.PrefillRate * layers)
	c.prefill = float64(r.PromptTokens) * perToken
	c.queueDelay = float64(e.Load.Prefill) * perToken / 2
	batch := 1 + float64(e.Load.Running+e.EstimatedLoad.Running)*share
	context := r.tokens() / 1000
	step := float64(m.StepTime) + batch*(float64(m.RequestTime)+context*float64(m.ContextTime))
	c.decode = float64(m.StepsPerPass) * e.Card.StepFactor * e.Slowdown * step / layers
	capacity := Capacity(m, e)
	free := e.freeMemory(capacity)
	c.layerCapacity = int(e.usableMemory(capacity, r) / max(1, r.tokens()))
	utilisation := 1 - (free-float64(e.EstimatedLoad.Tokens))/float64(max(1, capacity))
	c.cost = (c.prefill + passWeight*c.decode) * r.costFactor(utilisation)
	if r.DataCentre != "" && r.DataCentre != e.DataCentre {
		c.cost *= remoteFactor
	}
	if r.Random != nil {
		c.cost *= 1 + costNoise*r.Random()
	}
	return c
}
