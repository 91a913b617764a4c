// Package reserver reserves loopback addresses for processes that are started
// and started again while other runs on the same machine do the same.
package reserver

import (
	"math/rand/v2"
	"net"
	"strconv"

	"github.com/cockroachdb/errors"
)

// ErrNoAddresses is returned when too few ports are free.
var ErrNoAddresses = errors.New("too few ports are free")

// Ports lie below the range from which Linux takes the ports of outgoing
// connections: a port of that range can be taken while its process is down.
const (
	firstPort = 12000
	lastPort  = 32000
	// blockPorts is the number of ports that are reserved together. The first of
	// them is the guard: whoever listens there owns the others, until it closes the
	// guard or ends.
	blockPorts = 32
	// attempts bounds the search on a machine with many listeners.
	attempts = 4000
)

// Addresses reserves n loopback addresses. No other run gets them until the
// clean-up function is called, also while nothing listens there. The error is
// ErrNoAddresses.
func Addresses(n int) ([]string, func(), error) {
	var out []string
	var guards []net.Listener
	release := func() {
		for _, g := range guards {
			_ = g.Close() // nothing was accepted
		}
	}
	for range attempts {
		if len(out) >= n {
			return out[:n], release, nil
		}
		// Runs with equal seeds must not choose the same blocks again and again, so the
		// choice does not depend on a seed.
		first := firstPort + blockPorts*rand.IntN((lastPort-firstPort)/blockPorts)
		guard, err := net.Listen("tcp", address(first))
		if err != nil {
			continue
		}
		guards = append(guards, guard)
		for port := first + 1; port < first+blockPorts; port++ {
			if free(port) {
				out = append(out, address(port))
			}
		}
	}
	release()
	return nil, nil, errors.Wrapf(ErrNoAddresses, "%d of %d", len(out), n)
}

func address(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }

// free reports whether a program that reserves nothing left the port alone.
func free(port int) bool {
	l, err := net.Listen("tcp", address(port))
	if err != nil {
		return false
	}
	_ = l.Close() // nothing was accepted
	return true
}
