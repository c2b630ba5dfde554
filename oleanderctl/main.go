// Command oleanderctl is the operators' command-line tool.
package main

import (
	"os"

	"oleandercove.example/oleanderctl/command"
)

func main() {
	os.Exit(command.Run(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
