package settings

import "oleandercove.example/core/loader"

// Admission configures the admission of model requests.
type Admission struct {
	// Off lets every request through, for measurements.
	Off bool
	// MaxWait bounds the wait of a request; a longer one would miss the target
	// of 1.1 s for the first token.
	MaxWait loader.Duration `check:"positive"`
}
