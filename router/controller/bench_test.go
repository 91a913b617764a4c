package controller

import (
	"testing"
	"time"
)

// BenchmarkRequest measures the control work of four daemons for one request:
// demand, grant and settlement, without encoding and sockets.
func BenchmarkRequest(b *testing.B) {
	f := newFleet(nil)
	f.advance(time.Second)
	f.deliverAll()
	i := 0
	for b.Loop() {
		f.request([]string{"d0", "d1", "d2", "d3"}[i%fleetDaemons], "a0")
		for len(f.permits) == 0 {
			f.advance(2 * time.Millisecond)
			f.deliverAll()
		}
		f.finish(0)
		f.deliverAll()
		i++
	}
}

// BenchmarkSecond measures the periodic control work of four daemons for one
// second without requests.
func BenchmarkSecond(b *testing.B) {
	f := newFleet(nil)
	for b.Loop() {
		f.advance(time.Second)
		f.deliverAll()
	}
}
