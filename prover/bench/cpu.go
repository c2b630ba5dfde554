package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"oleandercove.example/prover/launcher"
)

// clockTick is the unit of the times in /proc, which the kernel's interface fixes.
const clockTick = 10 * time.Millisecond

// cpuTime returns the processor time that the processes have used so far. It leaves out
// processes that don't run.
func cpuTime(processes []*launcher.Process) time.Duration {
	var total time.Duration
	for _, p := range processes {
		data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.PID()))
		if err != nil {
			continue
		}
		// The name in parentheses may contain spaces.
		fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
		for _, i := range []int{11, 12} {
			n, _ := strconv.Atoi(fields[i])
			total += time.Duration(n) * clockTick
		}
	}
	return total
}

// machineLoad returns the load average of the last minute.
func machineLoad() string {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	return strings.Fields(string(data))[0]
}
