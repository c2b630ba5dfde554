package main

import (
	"os"
	"path/filepath"
	"runtime/pprof"
)

// profile writes a processor profile of one window into dir and returns what
// ends it; an empty dir turns it off.
func profile(dir, name string) (stop func(), err error) {
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

// dumpGoroutines writes the stacks of a fleet that did not settle.
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
