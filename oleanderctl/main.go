// Command oleanderctl is the command line of the operators.
package main

import (
	"os"

	"oleandercove.example/oleanderctl/command"
)

func main() {
	os.Exit(command.Run(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
