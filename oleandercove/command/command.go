// Package command is the command line of the daemon.
//
// Usage:
//
//	os.Exit(command.Run(os.Args[1:]))
package command

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"oleandercove.example/oleandercove/daemon"
	"oleandercove.example/oleandercove/edge/runner"
	edge "oleandercove.example/oleandercove/edge/settings"
	"oleandercove.example/oleandercove/settings"
)

const (
	// exitFailure is the exit code of any failure but invalid settings.
	exitFailure = 1
	// exitSettings is the exit code when the settings file is missing or invalid.
	exitSettings = 2
)

// Run executes the command line and returns the exit code.
func Run(args []string) int {
	code := exitFailure
	c := &cobra.Command{Use: "oleandercove", Short: "Router for model pipelines and services", SilenceUsage: true, SilenceErrors: true}
	c.AddCommand(newRun(&code), newRoute(&code), newCheck(&code), newVersion())
	c.SetArgs(args)
	if err := c.Execute(); err != nil {
		fmt.Fprintln(c.ErrOrStderr(), err)
		return code
	}
	return 0
}

func newRun(code *int) *cobra.Command {
	var path string
	c := &cobra.Command{
		Use:   "run",
		Short: "Run the daemon until SIGTERM or SIGINT",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			s, err := settings.Load(path)
			if err != nil {
				*code = exitSettings
				return err
			}
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
			defer stop()
			d, err := daemon.New(s)
			if err != nil {
				return err
			}
			return d.Run(ctx)
		},
	}
	c.Flags().StringVar(&path, "config", "", "settings file")
	_ = c.MarkFlagRequired("config")
	return c
}

func newRoute(code *int) *cobra.Command {
	var path string
	c := &cobra.Command{
		Use:   "route",
		Short: "Route requests on the users' platform until SIGTERM or SIGINT",
		Args:  cobra.NoArgs,
		RunE: func(_ *cobra.Command, _ []string) error {
			s, err := edge.Load(path)
			if err != nil {
				*code = exitSettings
				return err
			}
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
			defer stop()
			r, err := runner.New(s, path)
			if err != nil {
				return err
			}
			return r.Run(ctx)
		},
	}
	c.Flags().StringVar(&path, "config", "", "settings file")
	_ = c.MarkFlagRequired("config")
	return c
}

func newCheck(code *int) *cobra.Command {
	var route bool
	c := &cobra.Command{
		Use:   "check-config FILE",
		Short: "Check a settings file",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if err := checkSettings(args[0], route); err != nil {
				*code = exitSettings
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "%s: ok\n", args[0])
			return nil
		},
	}
	c.Flags().BoolVar(&route, "route", false, "the file is for the route command")
	return c
}

// checkSettings loads the settings file of the route command, or of the run command.
func checkSettings(path string, route bool) error {
	if route {
		_, err := edge.Load(path)
		return err
	}
	_, err := settings.Load(path)
	return err
}

func newVersion() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		Run: func(c *cobra.Command, _ []string) {
			fmt.Fprintln(c.OutOrStdout(), runner.Version)
		},
	}
}
