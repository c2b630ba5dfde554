package command

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"oleandercove.example/core/checker"
	"oleandercove.example/oleanderctl/printer"
	"oleandercove.example/platform"
)

// maxConfigurationBytes bounds a configuration that is checked.
const maxConfigurationBytes = 32 << 20

// offline marks commands that call no daemon.
const offline = "offline"

// errFaulty is returned if a configuration has errors, errDoubtful if it has warnings only.
var (
	errFaulty   = errors.New("the configuration has errors")
	errDoubtful = errors.New("the configuration has warnings")
)

// checkResult is one finding as it is printed.
type checkResult struct {
	// Line is 0 for an entry that the checked text lacks.
	Line     int
	Severity checker.Severity
	Entry    checker.Kind
	Name     string
	Field    string
	// Key is the place in the text, with the keys that operators write.
	Key    string
	Detail string
}

func (p *program) checkCommand() *cobra.Command {
	var inForce string
	c := &cobra.Command{
		Use: "check FILE", Short: "Check a configuration of routing daemons before it is sent", Args: cobra.ExactArgs(1),
		Annotations: map[string]string{offline: "true"},
		Long: "Reads a configuration from FILE, or from standard input if FILE is -, and lists errors, entries that\n" +
			"can never match, and limits that contradict each other, with line and key. It calls no daemon.\n" +
			"Exit codes: 0 clean, 2 wrong command line or unreadable file, 8 errors, 9 warnings only.",
	}
	c.Flags().StringVar(&inForce, "in-force", "", "file with the version in force; its differences are listed, too")
	c.RunE = func(_ *cobra.Command, args []string) error {
		results, err := p.check(args[0], inForce)
		if err != nil {
			return err
		}
		if err := p.printer.Print(results, checkTable(results)); err != nil {
			return err
		}
		return verdictOf(results)
	}
	return c
}

// check returns the findings for a file, and the changes since the version in force unless its
// name is empty.
func (p *program) check(file, inForce string) ([]checkResult, error) {
	candidate, err := p.inspect(file)
	var syntax *platform.SyntaxError
	if errors.As(err, &syntax) {
		return []checkResult{{Line: syntax.Line, Severity: checker.Error, Entry: checker.KindConfiguration, Detail: syntax.Err.Error()}}, nil
	}
	if err != nil {
		return nil, err
	}
	findings := checker.Check(candidate.Configuration)
	if inForce != "" {
		before, err := p.inspect(inForce)
		if err != nil {
			return nil, usageError{fmt.Errorf("version in force: %w", err)}
		}
		findings = append(findings, checker.Compare(before.Configuration, candidate.Configuration)...)
	}
	out := make([]checkResult, 0, len(findings))
	for _, f := range findings {
		key, line := candidate.Locate(f.Subject)
		out = append(out, checkResult{Line: line, Severity: f.Severity, Entry: f.Kind, Name: f.Name, Field: f.Field, Key: key, Detail: f.Detail})
	}
	return out, nil
}

// inspect reads a configuration from a file, or from standard input if the name is "-".
func (p *program) inspect(file string) (*platform.Inspection, error) {
	in := p.stdin
	if file != "-" {
		f, err := os.Open(file)
		if err != nil {
			return nil, usageError{err}
		}
		defer f.Close()
		in = f
	}
	data, err := io.ReadAll(io.LimitReader(in, maxConfigurationBytes+1))
	if err != nil {
		return nil, usageError{err}
	}
	if len(data) > maxConfigurationBytes {
		return nil, usageError{fmt.Errorf("%s has more than %d bytes", file, maxConfigurationBytes)}
	}
	return platform.InspectConfiguration(data)
}

func checkTable(results []checkResult) printer.Table {
	t := printer.Table{Header: []string{"line", "severity", "entry", "name", "key", "detail"}}
	for _, r := range results {
		t.Rows = append(t.Rows, []string{fmt.Sprint(r.Line), string(r.Severity), string(r.Entry), r.Name, r.Key, r.Detail})
	}
	return t
}

// verdictOf returns errFaulty, errDoubtful or nil. Changes alone are clean.
func verdictOf(results []checkResult) error {
	var worst error
	for _, r := range results {
		switch r.Severity {
		case checker.Error:
			return errFaulty
		case checker.Warning:
			worst = errDoubtful
		}
	}
	return worst
}
