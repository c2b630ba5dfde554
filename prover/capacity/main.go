// Command capacity measures the cost of the daemons' control plane at several
// fleet sizes, fits a line to each figure and extrapolates it to the design
// size.
//
// All daemons of a size run in this process over loopback links, in the same
// number of data centres and regions at each size. The fake platform and the
// fake backend servers run in a second process of this program, whose CPU time
// is reported separately. Bytes are counted below TLS, without TCP and IP
// headers.
//
// Usage:
//
//	go run ./prover/capacity --sizes 80,160,320 --output out/capacity.json
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

// options apply to all sizes.
type options struct {
	centres, regions int
	window           time.Duration
	// profiles is the folder for CPU profiles; if empty, none are written.
	profiles string
	// busy makes each backend server report another load in each status call.
	busy bool
}

func main() {
	var o options
	sizes := flag.String("sizes", "80,160,320", "fleet sizes, separated by commas")
	flag.IntVar(&o.centres, "centres", 16, "number of data centres")
	flag.IntVar(&o.regions, "regions", 7, "number of regions")
	flag.DurationVar(&o.window, "window", 10*time.Second, "length of the measurement at each size")
	flag.StringVar(&o.profiles, "profiles", "", "folder of processor profiles; empty writes none")
	flag.BoolVar(&o.busy, "busy", false, "change the load of each backend server with each status call")
	output := flag.String("output", "out/capacity.json", "file of the JSON report")
	fakes := flag.Bool(fakesFlag, false, "serve the fakes until the standard input ends")
	flag.Parse()
	err := error(nil)
	if *fakes {
		err = serveFakes(o.busy)
	} else {
		err = run(*sizes, o, *output)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}

// Report is the content of the JSON report.
type Report struct {
	Points []Point
	// Fitted is the value of each fitted line at DesignSize.
	DesignSize int
	Fitted     Point
}

func run(sizes string, o options, output string) error {
	r := Report{DesignSize: designSize}
	for _, s := range strings.Split(sizes, ",") {
		n, err := strconv.Atoi(s)
		if err != nil {
			return err
		}
		p, err := measure(context.Background(), n, o)
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
