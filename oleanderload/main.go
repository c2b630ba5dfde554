// Command oleanderload sends seeded open-loop load to daemons and checks every response.
package main

import (
	"os"

	"oleandercove.example/oleanderload/command"
)

func main() {
	if err := command.New().Execute(); err != nil {
		os.Exit(1)
	}
}
