// Command capacity measures what the control parts of daemons cost at several
// fleet sizes and extends the fitted lines to the design size.
//
// All daemons of a size run in this process over loopback links. The share of
// the CPU therefore holds the fake platform and the fake backend servers too.
// Bytes are counted below TLS, without TCP and IP headers.
//
// Usage:
//
//	go run ./prover/capacity --sizes 30,90,150 --output out/capacity.json
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// designSize is the number of daemons that the system is designed for.
const designSize = 610

func main() {
	sizes := flag.String("sizes", "30,90,150", "fleet sizes, separated by commas")
	window := flag.Duration("window", 10*time.Second, "length of the measurement at each size")
	output := flag.String("output", "out/capacity.json", "file of the JSON report")
	flag.Parse()
	if err := run(*sizes, *window, *output); err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}

// Report is the JSON report.
type Report struct {
	Points []Point
	// Fitted is the value of each line at DesignSize.
	DesignSize int
	Fitted     Point
}

func run(sizes string, window time.Duration, output string) error {
	r := Report{DesignSize: designSize}
	for _, s := range strings.Split(sizes, ",") {
		n, err := strconv.Atoi(s)
		if err != nil {
			return err
		}
		p, err := measure(context.Background(), n, window)
		if err != nil {
			return fmt.Errorf("%d daemons: %w", n, err)
		}
		p.print(os.Stdout)
		r.Points = append(r.Points, p)
	}
	r.Fitted = fit(r.Points, designSize)
	fmt.Println("fitted line at the design size:")
	r.Fitted.print(os.Stdout)
	b, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Dir(output), 0o755); err != nil {
		return err
	}
	return os.WriteFile(output, append(b, '\n'), 0o644)
}
