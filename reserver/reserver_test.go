package reserver_test

import (
	"net"
	"testing"

	"github.com/cockroachdb/errors"

	"monsoondeck.example/reserver"
)

// reserve reserves addresses until the end of the test.
func reserve(t *testing.T, n int) []string {
	t.Helper()
	addresses, release, err := reserver.Addresses(n)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(release)
	return addresses
}

// Guards against concurrent runs that give one port to two processes: the second one
// fails to start, or receives the requests meant for a daemon that is down.
func TestNoAddressIsReservedTwice(t *testing.T) {
	seen := map[string]bool{}
	for range 30 {
		addresses := reserve(t, 100)
		if len(addresses) != 100 {
			t.Fatalf("%d addresses, want 100", len(addresses))
		}
		for _, a := range addresses {
			if seen[a] {
				t.Fatalf("%s was reserved twice", a)
			}
			seen[a] = true
		}
	}
}

// Guards against addresses on which no process can listen.
func TestReservedAddressesCanBeUsed(t *testing.T) {
	for _, a := range reserve(t, 40) {
		l, err := net.Listen("tcp", a)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = l.Close() }()
	}
}

// Guards against an endless search.
func TestTooManyAddressesAreAnError(t *testing.T) {
	_, _, err := reserver.Addresses(30000)
	if !errors.Is(err, reserver.ErrNoAddresses) {
		t.Fatalf("error is %v, want %v", err, reserver.ErrNoAddresses)
	}
}
