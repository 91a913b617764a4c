// Package reserver reserves loopback addresses for processes that are started and
// restarted while other test runs on the same machine do the same.
package reserver

import (
	"math/rand/v2"
	"net"
	"strconv"

	"github.com/cockroachdb/errors"
)

// ErrNoAddresses is returned when too few ports are free.
var ErrNoAddresses = errors.New("too few ports are free")

// Linux takes the ports of outgoing connections from 32768 up by default; one of
// those could be taken while its process restarts.
const (
	firstPort = 12000
	lastPort  = 32000
	// blockPorts is the number of ports in a block, which is reserved as a whole. The
	// first port is the guard port: the process that listens on it owns the block until
	// it closes the listener or exits.
	blockPorts = 32
	// maxAttempts limits the search on a machine with many listeners.
	maxAttempts = 4000
)

// Addresses reserves n loopback addresses. No other caller of Addresses gets them
// until the returned function is called, even while nothing listens on them. The
// error matches ErrNoAddresses.
func Addresses(n int) ([]string, func(), error) {
	var out []string
	var guards []net.Listener
	release := func() {
		for _, g := range guards {
			_ = g.Close() // no connection was accepted
		}
	}
	for range maxAttempts {
		if len(out) >= n {
			return out[:n], release, nil
		}
		// The choice does not depend on a seed: runs with equal seeds would repeatedly
		// compete for the same blocks.
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
	return nil, nil, errors.Wrapf(ErrNoAddresses, "found %d of %d free ports", len(out), n)
}

func address(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }

// free reports whether no program listens on the port. Programs that do not use this
// package may listen on it.
func free(port int) bool {
	l, err := net.Listen("tcp", address(port))
	if err != nil {
		return false
	}
	_ = l.Close() // no connection was accepted
	return true
}
