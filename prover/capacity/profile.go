package main

import (
	"os"
	"path/filepath"
	"runtime/pprof"
)

// startProfile starts a CPU profile that is written to dir/name.pprof and returns the
// function that stops it. An empty dir writes none.
func startProfile(dir, name string) (stop func(), err error) {
	if dir == "" {
		return func() {}, nil
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	f, err := os.Create(filepath.Join(dir, name+".pprof"))
	if err != nil {
		return nil, err
	}
	if err := pprof.StartCPUProfile(f); err != nil {
		f.Close()
		return nil, err
	}
	return func() { pprof.StopCPUProfile(); f.Close() }, nil
}

// dumpGoroutines writes the stacks of a fleet that did not settle to dir/name.goroutines.
// An empty dir writes none.
func dumpGoroutines(dir, name string) {
	if dir == "" {
		return
	}
	f, err := os.Create(filepath.Join(dir, name+".goroutines"))
	if err != nil {
		return
	}
	defer f.Close()
	_ = pprof.Lookup("goroutine").WriteTo(f, 1)
}
