package runner

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// deadlineRecorder is a connection that records its read deadline.
type deadlineRecorder struct {
	net.Conn
	deadline time.Time
}

func (r *deadlineRecorder) SetReadDeadline(t time.Time) error {
	r.deadline = t
	return nil
}

// Guards against limits of the configuration that are not applied to connections, and
// against changes to the deadlines of bodies.
func TestConnectionLimits(t *testing.T) {
	limits := connectionLimits{headerTimeout: 3 * time.Second, idleTimeout: 40 * time.Second}
	tests := []struct {
		name string
		set  time.Duration
		want time.Duration
	}{
		{"header limit is not applied", placeholderHeaderTimeout, limits.headerTimeout},
		{"idle limit is not applied", placeholderIdleTimeout, limits.idleTimeout},
		{"deadline of a body is changed", time.Minute, time.Minute},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := &deadlineRecorder{}
			c := &boundedConn{Conn: r, limits: func() connectionLimits { return limits }}
			now := time.Now()
			is.NoErr(c.SetReadDeadline(now.Add(tt.set)))
			off := r.deadline.Sub(now.Add(tt.want))
			is.True(off > -time.Second && off < time.Second)
			is.NoErr(c.SetReadDeadline(time.Time{}))
			is.True(r.deadline.IsZero())
		})
	}
}
