package gateway

import (
	"testing"

	"monsoondeck.example/gateway/settings"
	"monsoondeck.example/limiter"
)

// smallestMemory is the memory limit of the smallest hosts.
const smallestMemory = 134_000_000

// largestRequest grows a charge as the largest request within the limits of the example
// configuration does: 4,096 header fields, a body of 4 MiB in steps, and a response that is
// held.
func largestRequest(c *limiter.Charge) error {
	const headerCost, bodyBytes, responseBytes = 3*16384 + 256*4096, 4 << 20, 256 << 10
	if err := c.Grow(limiter.KindHeader, headerCost); err != nil {
		return err
	}
	for size := int64(512); size <= bodyBytes; size *= 2 {
		if err := c.Grow(limiter.KindBody, size/2); err != nil {
			return err
		}
	}
	return c.Grow(limiter.KindResponse, responseBytes)
}

// Guards against a single request within the limits that is refused in calm, on the
// smallest host, on one without a known limit, and on one with far too little memory.
func TestLargestSingleRequestIsServed(t *testing.T) {
	for _, memory := range []int64{0, 1 << 20, smallestMemory, 4 * smallestMemory} {
		a := newMemory(settings.Settings{MemoryBytes: memory})
		var c limiter.Charge
		a.Open(&c)
		if err := largestRequest(&c); err != nil {
			t.Errorf("memory %d: %v", memory, err)
		}
		c.Release()
	}
}

// Guards against ordinary requests that are refused because bodies within the limits hold
// all memory of the smallest host, and against a bound that leaves too little for the rest
// of the process.
func TestOrdinaryRequestsFitBesideLargeBodies(t *testing.T) {
	a := newMemory(settings.Settings{MemoryBytes: smallestMemory})
	large := make([]limiter.Charge, 100)
	refused := 0
	for i := range large {
		a.Open(&large[i])
		if largestRequest(&large[i]) != nil {
			refused++
		}
	}
	if refused == 0 {
		t.Error("100 of the largest requests fit into the memory of the smallest host")
	}
	held := int64(0)
	for _, k := range limiter.Kinds() {
		bytes, _ := a.Charged(k)
		held += bytes
	}
	if held > smallestMemory*4/10 {
		t.Errorf("%d bytes are held", held)
	}
	ordinary := make([]limiter.Charge, 200)
	for i := range ordinary {
		c := &ordinary[i]
		a.Open(c)
		for k, bytes := range map[limiter.Kind]int64{limiter.KindConnection: 16 << 10, limiter.KindHeader: 10 << 10, limiter.KindRequest: 8 << 10, limiter.KindBody: 12 << 10} {
			if err := c.Grow(k, bytes); err != nil {
				t.Fatalf("ordinary request %d, %s: %v", i, k, err)
			}
		}
	}
}
