package allocator

import (
	"oleandercove.example/core/catalogue"
	"oleandercove.example/core/unit"
	"oleandercove.example/oleandercove/limiter"
	"oleandercove.example/wire/peer"
)

func encodeAmounts(k catalogue.Key, a limiter.Amounts) *peer.LimitDemand {
	m := &peer.LimitDemand{Kind: string(k.Kind), Name: string(k.Name)}
	for _, v := range a {
		m.Amounts = append(m.Amounts, float32(v))
	}
	return m
}

// decodeAmounts reads amounts; a message of another version may have more or
// fewer of them.
func decodeAmounts(m *peer.LimitDemand) (catalogue.Key, limiter.Amounts) {
	var a limiter.Amounts
	for i, v := range m.GetAmounts() {
		if i < len(a) {
			a[i] = max(0, float64(v))
		}
	}
	return catalogue.Key{Kind: catalogue.Kind(m.GetKind()), Name: unit.EntryName(m.GetName())}, a
}

func encode(demands []limiter.Demand) *peer.LimitReport {
	m := &peer.LimitReport{}
	for _, d := range demands {
		m.Demands = append(m.Demands, encodeAmounts(d.Key, d.Wanted))
	}
	return m
}

func decode(m *peer.LimitReport) []limiter.Demand {
	var out []limiter.Demand
	for _, d := range m.GetDemands() {
		k, a := decodeAmounts(d)
		out = append(out, limiter.Demand{Key: k, Wanted: a})
	}
	return out
}

func encodeSlices(slices []limiter.Slice) *peer.LimitSlices {
	m := &peer.LimitSlices{}
	for _, s := range slices {
		m.Slices = append(m.Slices, encodeAmounts(s.Key, s.Granted))
	}
	return m
}

func decodeSlices(m *peer.LimitSlices) []limiter.Slice {
	var out []limiter.Slice
	for _, s := range m.GetSlices() {
		k, a := decodeAmounts(s)
		out = append(out, limiter.Slice{Key: k, Granted: a})
	}
	return out
}
