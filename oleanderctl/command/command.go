// Package command implements the command line of oleanderctl.
//
// Usage:
//
//	os.Exit(command.Run(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/spf13/cobra"

	"oleandercove.example/core/verdict"
	"oleandercove.example/oleanderctl/client"
	"oleandercove.example/oleanderctl/printer"
)

// Exit codes; scripts may rely on them.
const (
	// ExitOK means that the call succeeded; an edit was accepted.
	ExitOK = 0
	// ExitFailure means a failure that no other code describes.
	ExitFailure = 1
	// ExitUsage means that the command line is wrong.
	ExitUsage = 2
	// ExitNotRun means that nothing was changed and the call may be repeated.
	ExitNotRun = 3
	// ExitConflict means that another edit was stored first.
	ExitConflict = 4
	// ExitUnknown means that the edit may still take effect.
	ExitUnknown = 5
	// ExitNotFound means that the entry, host, backend server or request is unknown.
	ExitNotFound = 6
	// ExitUnauthorized means that the bearer token is wrong.
	ExitUnauthorized = 7
	// ExitInvalid means that the entry or field was rejected as invalid or too large, or that a
	// checked configuration has errors.
	ExitInvalid = 8
	// ExitWarnings means that a checked configuration has warnings only.
	ExitWarnings = 9
)

const (
	envAddress  = "OLEANDERCTL_ADDRESS"
	envToken    = "OLEANDERCTL_TOKEN"
	envOperator = "OLEANDERCTL_OPERATOR"

	outputTable = "table"
	outputJSON  = "json"
)

// program holds the global flags, streams and client that all commands share.
type program struct {
	stdin     io.Reader
	stderr    io.Writer
	addresses []string
	token     string
	operator  string
	output    string
	client    *client.Client
	printer   printer.Printer
	// parsed is set when cobra has accepted the command line and a command runs.
	parsed bool
}

// Run executes the command line and returns the exit code. SIGINT and SIGTERM cancel
// the call in progress.
func Run(args []string, in io.Reader, out, errs io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	p := &program{stdin: in, stderr: errs}
	c := p.rootCommand(out)
	c.SetArgs(args)
	c.SetOut(out)
	c.SetErr(errs)
	err := c.ExecuteContext(ctx)
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(errs, "oleanderctl:", err)
	p.printRefusal(err)
	if !p.parsed {
		return ExitUsage
	}
	return exitCode(err)
}

func (p *program) rootCommand(out io.Writer) *cobra.Command {
	c := &cobra.Command{
		Use: "oleanderctl", Short: "Edit the catalogue and look into daemons",
		SilenceUsage: true, SilenceErrors: true,
		Long: "Exit codes: 0 done, 1 failure, 2 wrong command line, 3 not run (repeat later), 4 conflict,\n" +
			"5 outcome unknown (look at the history first), 6 not found, 7 unauthorized, 8 faulty entry, 9 warnings only.",
		PersistentPreRunE: func(c *cobra.Command, _ []string) error { return p.prepare(c, out) },
	}
	f := c.PersistentFlags()
	f.StringSliceVar(&p.addresses, "address", splitAddresses(os.Getenv(envAddress)), "addresses of the daemons' listeners for operators ("+envAddress+")")
	f.StringVar(&p.token, "token", "", "bearer token of the operators ("+envToken+")")
	f.StringVar(&p.operator, "operator", "", "your name for the history ("+envOperator+")")
	f.StringVar(&p.output, "output", outputTable, "output format: table or json")
	_ = c.RegisterFlagCompletionFunc("output", cobra.FixedCompletions([]string{outputTable, outputJSON}, cobra.ShellCompDirectiveNoFileComp))
	for _, sub := range []*cobra.Command{
		p.listCommand(), p.showCommand(), p.createCommand(), p.editCommand(), p.delete(), p.historyCommand(),
		p.hostsCommand(), p.backendsCommand(), p.dumpCommand(), p.explainCommand(), p.drainCommand(), p.checkCommand(), p.demandCommand(),
	} {
		run := sub.RunE
		sub.RunE = func(c *cobra.Command, args []string) error {
			p.parsed = true
			return run(c, args)
		}
		c.AddCommand(sub)
	}
	return c
}

func splitAddresses(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(text, ",")
}

// prepare checks the global flags, fills in missing ones from the environment, and
// creates the client and the printer. The token is read here instead of as a flag
// default, so that the help text never shows it.
func (p *program) prepare(c *cobra.Command, out io.Writer) error {
	if c.Name() == "help" || strings.HasPrefix(c.Name(), cobra.ShellCompRequestCmd) || (c.HasParent() && c.Parent().Name() == "completion") {
		return nil
	}
	if p.output != outputTable && p.output != outputJSON {
		return fmt.Errorf("--output is %q, must be %s or %s", p.output, outputTable, outputJSON)
	}
	p.printer = printer.Printer{Out: out, JSON: p.output == outputJSON}
	if c.Annotations[offline] != "" {
		return nil
	}
	if len(p.addresses) == 0 {
		return fmt.Errorf("no address: use --address or %s", envAddress)
	}
	if p.token == "" {
		p.token = os.Getenv(envToken)
	}
	if p.operator == "" {
		p.operator = os.Getenv(envOperator)
	}
	p.client = client.New(client.Options{Addresses: p.addresses, Token: p.token, Operator: p.operator})
	return nil
}

// usageError reports a wrong argument that is found only while the command runs, such as
// an unreadable file.
type usageError struct{ error }

// notFoundError reports a host, backend server or request that was not found.
type notFoundError struct{ error }

func exitCode(err error) int {
	var usage usageError
	var missing notFoundError
	var e *client.Error
	switch {
	case errors.Is(err, errFaulty):
		return ExitInvalid
	case errors.Is(err, errDoubtful):
		return ExitWarnings
	case errors.As(err, &usage):
		return ExitUsage
	case errors.As(err, &missing):
		return ExitNotFound
	case !errors.As(err, &e):
		return ExitFailure
	}
	switch {
	case e.Body.Reason == verdict.Unauthorized:
		return ExitUnauthorized
	case e.Body.Verdict == verdict.MayHaveRun:
		return ExitUnknown
	case e.Status == http.StatusNotFound:
		return ExitNotFound
	case e.Status == http.StatusConflict:
		return ExitConflict
	case e.Body.Reason == verdict.BadRequest, e.Body.Reason == verdict.TooLarge:
		return ExitInvalid
	case e.Body.Verdict == verdict.NotRun:
		return ExitNotRun
	}
	return ExitFailure
}

// printRefusal prints the faults, conflicts, concurrent changes and current version from
// a refusal, which an operator needs to correct the edit.
func (p *program) printRefusal(err error) {
	var e *client.Error
	if !errors.As(err, &e) {
		return
	}
	if p.output == outputJSON {
		_ = printer.Printer{Out: p.stderr, JSON: true}.Print(e.Body, printer.Table{})
		return
	}
	for _, f := range e.Body.Faults {
		fmt.Fprintf(p.stderr, "  fault in %s\n", f)
	}
	for _, c := range e.Body.Conflicts {
		fmt.Fprintf(p.stderr, "  conflict in %s: yours %s, theirs %s\n", c.Field, orUnset(c.Yours), orUnset(c.Theirs))
	}
	for _, c := range e.Body.Changes {
		fmt.Fprintf(p.stderr, "  version %d by %s changed %s\n", c.Version, c.By, strings.Join(c.Fields, " "))
	}
	if e.Body.Version > 0 {
		fmt.Fprintf(p.stderr, "  current version is %d\n", e.Body.Version)
	}
}

func orUnset(v []byte) string {
	if len(v) == 0 {
		return "(not set)"
	}
	return string(v)
}
