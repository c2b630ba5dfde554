package settings

import "oleandercove.example/core/loader"

// Admission configures the admission of model requests.
type Admission struct {
	// Off admits every request, for measurements.
	Off bool
	// MaxWait bounds the time that a request waits for admission; a longer wait would
	// miss the target of 1.1 s for the first token.
	MaxWait loader.Duration `check:"positive"`
}
