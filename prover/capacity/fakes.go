package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"

	"oleandercove.example/prover/cluster"
)

// fakesFlag is the name of the flag with which this program serves the fakes.
const fakesFlag = "fakes"

// startFakes starts the fakes in a second process of this program, so that their processor
// time and open files don't count with those of the daemons. The returned function stops
// the process.
func startFakes(ctx context.Context, busy bool) (a cluster.Addresses, stop func(), err error) {
	self, err := os.Executable()
	if err != nil {
		return a, nil, err
	}
	c := exec.CommandContext(ctx, self, "--"+fakesFlag, fmt.Sprintf("--busy=%t", busy))
	c.Stderr = os.Stderr
	in, err := c.StdinPipe()
	if err != nil {
		return a, nil, err
	}
	out, err := c.StdoutPipe()
	if err != nil {
		return a, nil, err
	}
	if err := c.Start(); err != nil {
		return a, nil, err
	}
	stop = func() { in.Close(); _ = c.Wait() }
	if err := json.NewDecoder(out).Decode(&a); err != nil {
		stop()
		return a, nil, err
	}
	return a, stop, nil
}

// serveFakes prints the addresses and serves until the standard input is closed, which also
// happens when the parent process exits or is killed.
func serveFakes(busy bool) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f, err := cluster.StartFakes(ctx)
	if err != nil {
		return err
	}
	f.VaryLoad.Store(busy)
	if err := json.NewEncoder(os.Stdout).Encode(f.Addresses); err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, os.Stdin)
	return err
}
