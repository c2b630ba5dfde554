package imitator

import (
	"strconv"
	"strings"
)

// stage is one stage of a chain: an engine and the layers that it runs.
type stage struct {
	address  string
	from, to int
}

func parseStage(text string) (stage, bool) {
	address, layers, ok := strings.Cut(text, "=")
	from, to, ok2 := strings.Cut(layers, "-")
	f, err := strconv.Atoi(from)
	t, err2 := strconv.Atoi(to)
	return stage{address, f, t}, ok && ok2 && err == nil && err2 == nil
}

// unavailableStage is the first stage of a path whose engine can't run it. The address is
// empty if all stages are available; dead means that the engine doesn't answer.
type unavailableStage struct {
	address string
	dead    bool
}

// checkPath returns the first unavailable stage of a path, if any, and whether the path
// runs every layer once. It doesn't check the layers after an unavailable stage.
func (e *Engine) checkPath(path []string) (o unavailableStage, complete bool) {
	nextLayer := 0
	for _, text := range path {
		p, ok := parseStage(text)
		if !ok || p.from != nextLayer {
			return unavailableStage{}, false
		}
		nextLayer = p.to
		x := e.site.engineAt(p.address)
		switch {
		case x == nil || !x.alive():
			return unavailableStage{address: p.address, dead: true}, true
		case !x.Holds(p.from, p.to):
			return unavailableStage{address: p.address}, true
		}
	}
	return unavailableStage{}, nextLayer == ModelLayers
}
