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

// decodeAmounts reads the key and the amounts of a message. A message of another
// version may have more or fewer amounts.
func decodeAmounts(m *peer.LimitDemand) (catalogue.Key, limiter.Amounts) {
	var a limiter.Amounts
	for i, v := range m.GetAmounts() {
		if i < len(a) {
			a[i] = max(0, float64(v))
		}
	}
	return catalogue.Key{Kind: catalogue.Kind(m.GetKind()), Name: unit.EntryName(m.GetName())}, a
}

func encodeDemands(demands []limiter.Demand) *peer.LimitReport {
	return &peer.LimitReport{Demands: convert(demands, func(d limiter.Demand) *peer.LimitDemand {
		return encodeAmounts(d.Key, d.Wanted)
	})}
}

func decodeDemands(m *peer.LimitReport) []limiter.Demand {
	return convert(m.GetDemands(), func(d *peer.LimitDemand) limiter.Demand {
		k, a := decodeAmounts(d)
		return limiter.Demand{Key: k, Wanted: a}
	})
}

func encodeSlices(slices []limiter.Slice) *peer.LimitSlices {
	return &peer.LimitSlices{Slices: convert(slices, func(s limiter.Slice) *peer.LimitDemand {
		return encodeAmounts(s.Key, s.Granted)
	})}
}

func decodeSlices(m *peer.LimitSlices) []limiter.Slice {
	return convert(m.GetSlices(), func(s *peer.LimitDemand) limiter.Slice {
		k, a := decodeAmounts(s)
		return limiter.Slice{Key: k, Granted: a}
	})
}

// convert returns the results of fn for all items.
func convert[A, B any](items []A, fn func(A) B) []B {
	out := make([]B, 0, len(items))
	for _, i := range items {
		out = append(out, fn(i))
	}
	return out
}
