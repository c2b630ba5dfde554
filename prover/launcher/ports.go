package launcher

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

const (
	// firstPort and lastPort lie below the range from which the kernel takes the
	// ports of outgoing connections: a port of that range can be taken between
	// the choice and the start of the program.
	firstPort, lastPort = 10000, 32000
	// blockSize is the number of ports that a process reserves at a time. It leaves
	// enough blocks for the test processes that run at once.
	blockSize = 500
)

// errNoPorts is returned when other processes have reserved all blocks of ports.
var errNoPorts = errors.New("no unreserved block of ports")

// allocatedPorts hands out the ports of all launchers of this process.
var allocatedPorts portAllocator

// portAllocator hands out loopback ports, each of them once. A port that is only checked
// to be free can be given to two programs, as each checks before the other listens, and a
// program that is down for a restart can lose its port. So a process reserves a block of
// ports, by listening on its first one until the process exits.
type portAllocator struct {
	mu           sync.Mutex
	reservations []net.Listener
	// next and end bound the ports of the current block that are not handed out yet.
	next, end int
}

// take returns the first of n consecutive ports on which nothing listens. It returns
// errNoPorts when no block is left.
func (a *portAllocator) take(n int) (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for {
		if a.end-a.next < n {
			if err := a.reserve(); err != nil {
				return 0, err
			}
		}
		first := a.next
		a.next += n
		if areFree(first, n) {
			return first, nil
		}
	}
}

// reserve makes a block current that no process has reserved.
func (a *portAllocator) reserve() error {
	blocks := (lastPort - firstPort) / blockSize
	start := rand.IntN(blocks)
	for i := range blocks {
		base := firstPort + (start+i)%blocks*blockSize
		l, err := listen(base)
		if err != nil {
			continue
		}
		a.reservations = append(a.reservations, l)
		a.next, a.end = base+1, base+blockSize
		return nil
	}
	return errNoPorts
}

// areFree reports whether nothing listens on n ports from the first.
func areFree(first, n int) bool {
	for port := first; port < first+n; port++ {
		l, err := listen(port)
		if err != nil || l.Close() != nil {
			return false
		}
	}
	return true
}

func listen(port int) (net.Listener, error) { return net.Listen("tcp", loopback(port)) }

func loopback(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// FreeAddress returns a loopback address that no launcher uses.
func FreeAddress() (string, error) {
	port, err := allocatedPorts.take(1)
	if err != nil {
		return "", err
	}
	return loopback(port), nil
}
