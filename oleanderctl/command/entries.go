package command

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"oleandercove.example/core/api"
	"oleandercove.example/core/catalogue"
	"oleandercove.example/core/unit"
	"oleandercove.example/oleanderctl/printer"
)

// entryArgCount is the number of arguments KIND NAME.
const entryArgCount = 2

var kindNames = []string{string(catalogue.KindAccount), string(catalogue.KindModel), string(catalogue.KindService)}

func entryPath(args []string) string {
	return "/v1/entries/" + url.PathEscape(args[0]) + "/" + url.PathEscape(args[1])
}

// entryCommand returns a command with the arguments KIND NAME.
func entryCommand(use, short string, run func(c *cobra.Command, args []string) error) *cobra.Command {
	return &cobra.Command{
		Use: use + " KIND NAME", Short: short, Args: cobra.ExactArgs(entryArgCount), RunE: run,
		ValidArgsFunction: func(_ *cobra.Command, args []string, _ string) ([]string, cobra.ShellCompDirective) {
			if len(args) == 0 {
				return kindNames, cobra.ShellCompDirectiveNoFileComp
			}
			return nil, cobra.ShellCompDirectiveNoFileComp
		},
	}
}

func (p *program) listCommand() *cobra.Command {
	var kind string
	c := &cobra.Command{Use: "list", Short: "List entries that a daemon applies now", Args: cobra.NoArgs}
	c.Flags().StringVar(&kind, "kind", "", "only entries of this kind")
	_ = c.RegisterFlagCompletionFunc("kind", cobra.FixedCompletions(kindNames, cobra.ShellCompDirectiveNoFileComp))
	c.RunE = func(c *cobra.Command, _ []string) error {
		var l api.EntryList
		if err := p.client.Get(c.Context(), "/v1/entries?kind="+url.QueryEscape(kind), &l); err != nil {
			return err
		}
		return p.printer.Print(l, printer.Entries(l))
	}
	return c
}

func (p *program) showCommand() *cobra.Command {
	return entryCommand("show", "Show an entry with its version", func(c *cobra.Command, args []string) error {
		var v api.EntryView
		if err := p.client.Get(c.Context(), entryPath(args), &v); err != nil {
			return err
		}
		t, err := printer.Entry(v)
		if err != nil {
			return err
		}
		return p.printer.Print(v, t)
	})
}

func (p *program) historyCommand() *cobra.Command {
	return entryCommand("history", "Show the latest changes of an entry", func(c *cobra.Command, args []string) error {
		var h api.EntryHistory
		if err := p.client.Get(c.Context(), entryPath(args)+"/history", &h); err != nil {
			return err
		}
		return p.printer.Print(h, printer.History(h))
	})
}

func (p *program) createCommand() *cobra.Command {
	var file string
	c := entryCommand("create", "Create an entry from a JSON file", func(c *cobra.Command, args []string) error {
		v, err := p.readEntry(file)
		if err != nil {
			return err
		}
		return p.putEntry(c, args, 0, v.Entry)
	})
	c.Flags().StringVar(&file, "file", "", "file with the entry; - reads the standard input")
	_ = c.MarkFlagRequired("file")
	return c
}

func (p *program) editCommand() *cobra.Command {
	var file string
	var assignments []string
	var version uint64
	c := entryCommand("edit", "Replace an entry from a file, or set single fields", nil)
	c.Long = "With --file, replaces the whole entry if its version is still that of the file, as written by\n" +
		"show --output json. With --set, changes single fields and merges them with concurrent edits of\n" +
		"other fields. A value is JSON or plain text."
	c.Example = "  oleanderctl edit Model report --set Limits.RequestsPerSecond=20 --set Class=Batch"
	f := c.Flags()
	f.StringVar(&file, "file", "", "file with the entry; - reads the standard input")
	f.StringArrayVar(&assignments, "set", nil, "Field.Path=value; may be repeated")
	f.Uint64Var(&version, "if-version", 0, "version that the edit expects (with --file: instead of the file's)")
	c.MarkFlagsOneRequired("file", "set")
	c.MarkFlagsMutuallyExclusive("file", "set")
	c.RunE = func(c *cobra.Command, args []string) error {
		var expected *unit.Version
		if c.Flags().Changed("if-version") {
			v := unit.Version(version)
			expected = &v
		}
		if file == "" {
			return p.patchEntry(c, args, expected, assignments)
		}
		v, err := p.readEntry(file)
		if err != nil {
			return err
		}
		if expected != nil {
			v.Version = *expected
		}
		if v.Version == 0 {
			return usageError{fmt.Errorf("%s holds no version; use --if-version, or create for a new entry", file)}
		}
		return p.putEntry(c, args, v.Version, v.Entry)
	}
	return c
}

func (p *program) delete() *cobra.Command {
	var version uint64
	c := entryCommand("delete", "Delete an entry", nil)
	c.Flags().Uint64Var(&version, "if-version", 0, "version that is deleted; without it the daemon's current one")
	c.RunE = func(c *cobra.Command, args []string) error {
		expected := unit.Version(version)
		if !c.Flags().Changed("if-version") {
			var v api.EntryView
			if err := p.client.Get(c.Context(), entryPath(args), &v); err != nil {
				return err
			}
			expected = v.Version
		}
		return p.sendEdit(c, http.MethodDelete, args, &expected, nil)
	}
	return c
}

func (p *program) putEntry(c *cobra.Command, args []string, expected unit.Version, e catalogue.Entry) error {
	return p.sendEdit(c, http.MethodPut, args, &expected, &e)
}

func (p *program) patchEntry(c *cobra.Command, args []string, expected *unit.Version, assignments []string) error {
	var body api.EntryPatch
	for _, s := range assignments {
		e, err := parseAssignment(s)
		if err != nil {
			return err
		}
		body.Set = append(body.Set, e)
	}
	return p.sendEdit(c, http.MethodPatch, args, expected, body)
}

func (p *program) sendEdit(c *cobra.Command, method string, args []string, expected *unit.Version, body any) error {
	var a api.EditAccepted
	if err := p.client.Edit(c.Context(), method, entryPath(args), expected, body, &a); err != nil {
		return err
	}
	return p.printer.Print(a, printer.Accepted(a))
}

// parseAssignment parses Field.Path=value. The value is taken as JSON if that fits the
// type of the field, and as plain text otherwise, so that Model.Version=1.2 needs no
// quotes.
func parseAssignment(text string) (catalogue.FieldEdit, error) {
	field, value, ok := strings.Cut(text, "=")
	if !ok || field == "" {
		return catalogue.FieldEdit{}, usageError{fmt.Errorf("--set %q is not Field.Path=value", text)}
	}
	e := catalogue.FieldEdit{Field: field, Value: json.RawMessage(value)}
	if json.Valid(e.Value) {
		if _, err := catalogue.Apply(&catalogue.Entry{}, []catalogue.FieldEdit{e}); err == nil {
			return e, nil
		}
	}
	quoted, err := json.Marshal(value)
	if err != nil {
		return e, err
	}
	e.Value = quoted
	if _, err := catalogue.Apply(&catalogue.Entry{}, []catalogue.FieldEdit{e}); err != nil {
		return e, usageError{fmt.Errorf("--set %s: %w", text, err)}
	}
	return e, nil
}

// readEntry reads a file that holds an entry with its version, or an entry alone, which
// gets version 0.
func (p *program) readEntry(file string) (v api.EntryView, err error) {
	var data []byte
	if file == "-" {
		data, err = io.ReadAll(p.stdin)
	} else {
		data, err = os.ReadFile(file)
	}
	if err != nil {
		return v, usageError{err}
	}
	var view struct {
		Version unit.Version
		Entry   json.RawMessage
	}
	if err := json.Unmarshal(data, &view); err != nil {
		return v, usageError{fmt.Errorf("%s: %w", file, err)}
	}
	if view.Entry != nil {
		data = view.Entry
	}
	e, err := catalogue.Decode(data, view.Version)
	if err != nil {
		return v, usageError{fmt.Errorf("%s: %w", file, err)}
	}
	return api.EntryView{Version: view.Version, Entry: *e}, nil
}
