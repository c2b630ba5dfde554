package command

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"oleandercove.example/oleanderfake/imitator"
)

// newSite returns the command that simulates the users' platform.
func newSite() *cobra.Command {
	o := imitator.Options{}
	address := ""
	c := &cobra.Command{
		Use:   "site",
		Short: "Stand-in of the users' platform: store, engines and servers in one process",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(c.Context(), syscall.SIGTERM, os.Interrupt)
			defer stop()
			s, err := imitator.New(o)
			if err != nil {
				return err
			}
			e, err := s.OpenEndpoint(address)
			if err != nil {
				return err
			}
			s.Configure(imitator.Key)
			fmt.Fprintf(c.OutOrStdout(), "store %s, host %s, key %s, paths %s %s %s\n",
				e.Address, imitator.Host, imitator.Key, imitator.ModelPath, imitator.BookPath, imitator.StatusPath)
			<-ctx.Done()
			return s.Close()
		},
	}
	f := c.Flags()
	f.StringVar(&address, "listen", "127.0.0.1:0", "IP address and port of the store")
	f.StringSliceVar(&o.DataCentres, "data-centres", []string{"x", "y"}, "data centres of the engines")
	f.IntVar(&o.Engines, "engines", 4, "engines in each data centre")
	f.IntVar(&o.Servers, "servers", 2, "servers of the plain service")
	return c
}
