package controller_test

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	"oleandercove.example/core/timer"
	"oleandercove.example/oleandercove/controller"
)

// Guards against lost changes, keys that run forever, and failures that aren't
// retried or are retried without a delay.
func TestQueue(t *testing.T) {
	rows := []struct {
		name string
		// adds is the number of changes while the key runs for the first time.
		adds  int
		err   error
		runs  int
		pause bool
	}{
		{"key runs without a reason", 0, nil, 1, false},
		{"change during a run is lost or queued many times", 5, nil, 2, false},
		{"failure is not retried", 0, errors.New("down"), 2, true},
		{"change skips the backoff of a failure", 5, errors.New("down"), 2, true},
	}
	for _, r := range rows {
		t.Run(r.name, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithCancel(t.Context())
			tm := timer.NewManual(time.Unix(0, 0))
			started, proceed, ended := make(chan time.Time), make(chan error), make(chan struct{})
			c := controller.New(controller.Options[string]{
				Timer: tm, Log: log.New(io.Discard),
				Reconcile: func(context.Context, string) (time.Duration, error) {
					started <- tm.Now()
					return 0, <-proceed
				},
			})
			go func() { c.Run(ctx); close(ended) }()
			c.Add("a")
			c.Add("a")
			<-started
			for range r.adds {
				c.Add("a")
			}
			proceed <- r.err
			if r.pause {
				for tm.Waiting() == 0 {
					select {
					case <-started:
						t.Fatal("retried without a delay")
					case <-time.After(time.Millisecond):
					}
				}
				c.Add("a")
				c.Add("b") // runs first, because "a" is backing off
				<-started
				proceed <- nil
				tm.Advance(time.Minute)
			}
			for range r.runs - 1 {
				<-started
				proceed <- nil
			}
			c.Add("b") // runs next if "a" is not queued any more
			<-started
			proceed <- nil
			cancel()
			<-ended
			is.Equal(len(started), 0)
		})
	}
}

// Guards against orders that are repeated before the status can show them, and
// lost orders that are never repeated.
func TestExpectations(t *testing.T) {
	is := is.New(t)
	tm := timer.NewManual(time.Unix(0, 0))
	e := controller.NewExpectations[string, int](tm, time.Second)
	e.Expect("a", 1)
	e.Expect("b", 2)
	v, ok := e.Get("a")
	is.True(ok && v == 1)
	e.Fulfil("b")
	_, ok = e.Get("b")
	is.True(!ok)
	tm.Advance(time.Second)
	_, ok = e.Get("a")
	is.True(!ok)
}
