// Command oleandercove is the daemon of an entry host. It routes callers' requests to
// model pipelines and plain services.
package main

import (
	"os"

	"oleandercove.example/oleandercove/command"
)

func main() {
	os.Exit(command.Run(os.Args[1:]))
}
