// Command oleanderfake simulates the platform, model engines and plain services, for tests
// and measurements.
package main

import (
	"os"

	"oleandercove.example/oleanderfake/command"
)

func main() {
	if err := command.New().Execute(); err != nil {
		os.Exit(1)
	}
}
