package platform

import (
	"encoding/json"

	"oleandercove.example/core/splitter"
)

// hostRows are the rows of the host list that can be read.
type hostRows []Host

func (h *hostRows) decode(data []byte) error {
	rows, err := splitter.Elements(data)
	for _, text := range rows {
		var host Host
		if json.Unmarshal(text, &host) == nil {
			*h = append(*h, host)
		}
	}
	return err
}
