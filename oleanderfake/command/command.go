// Package command implements the command line of oleanderfake.
//
// Usage:
//
//	err := command.New().Execute()
package command

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"oleandercove.example/core/platform"
	"oleandercove.example/oleanderfake/registrar"
)

// New returns the root command.
func New() *cobra.Command {
	c := &cobra.Command{
		Use:           "oleanderfake",
		Short:         "Stand-ins for the platform, model engines and services",
		SilenceUsage:  true,
		SilenceErrors: false,
	}
	c.AddCommand(newPlatform(), newEngine(), newService(), newSite())
	return c
}

// serveOptions holds the flags that the platform, engine and service commands share, and
// what their shutdown needs.
type serveOptions struct {
	address string
	// advertise is the address for the host list, for example that of a proxy; empty
	// means the address to listen on.
	advertise string
	platform  string
	host      platform.Host
	// drainLimit is the longest graceful shutdown.
	drainLimit time.Duration
	// leaveDelay is the shortest graceful shutdown, in which the server keeps answering.
	leaveDelay time.Duration
	// drain is called when the process shuts down; nil means no graceful shutdown.
	drain func()
	// busy reports whether work is still running; it is set if drain is.
	busy func() bool
}

func (l *serveOptions) addFlags(c *cobra.Command) {
	f := c.Flags()
	f.StringVar(&l.address, "listen", "127.0.0.1:0", "IP address and port to listen on")
	f.StringVar(&l.advertise, "advertise", "", "address for the host list; empty takes that of --listen")
	f.StringVar(&l.platform, "platform", "", "address of the platform; empty registers nowhere")
	f.DurationVar(&l.drainLimit, "drain-limit", 20*time.Second, "longest graceful shutdown")
	f.DurationVar(&l.leaveDelay, "leave-delay", 3*time.Second, "shortest graceful shutdown, until routers have noticed it")
}

// serve serves h and registers the host until SIGTERM, SIGINT or the end of ctx, then shuts
// down gracefully. It returns an error if it can't listen, or if serving or the shutdown
// fails.
func (l *serveOptions) serve(ctx context.Context, h http.Handler) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	if l.advertise != "" {
		l.host.Address = l.advertise
	}
	ln, err := net.Listen("tcp", l.address)
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	failed := make(chan error, 1)
	go func() { failed <- srv.Serve(ln) }()
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	go registrar.Run(background, l.platform, func() platform.Host {
		h := l.host
		if ctx.Err() != nil {
			h.State = platform.HostLeaving
		}
		return h
	})
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	return l.shutdown(background, srv)
}

// shutdown drains the server and registers it as leaving. It keeps serving while the server
// is busy and for at least leaveDelay, but no longer than drainLimit, and closes the listener
// then. It returns the error of the shutdown unless that is the deadline.
func (l *serveOptions) shutdown(ctx context.Context, srv *http.Server) error {
	if l.drain == nil {
		return srv.Close()
	}
	l.drain()
	h := l.host
	h.State = platform.HostLeaving
	registrar.Register(ctx, l.platform, h)
	now := time.Now()
	end, earliest := now.Add(l.drainLimit), now.Add(min(l.leaveDelay, l.drainLimit))
	for (l.busy() || time.Now().Before(earliest)) && time.Now().Before(end) {
		time.Sleep(20 * time.Millisecond)
	}
	ctx, cancel := context.WithDeadline(ctx, end.Add(time.Second))
	defer cancel()
	if err := srv.Shutdown(ctx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	return nil
}
