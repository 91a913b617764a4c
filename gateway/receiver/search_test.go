package receiver

import (
	"sync"
	"testing"
	"time"
)

// Guards against two searches of one attempt, of which the first has not ended when the
// second starts, that change each other's demand. The race detector notices it.
func TestSearchesOfAnAttemptShareNoState(t *testing.T) {
	p := &proxyRequest{receiver: New(Options{ShutdownState: notStopping{}}), route: patientRoute, arrived: time.Now()}
	s := p.newSearch(&stallCounter{})
	var searches sync.WaitGroup
	for i := range 2 {
		searches.Go(func() { s.demand(t.Context(), p.arrived.Add(time.Duration(i)*time.Second)) })
	}
	searches.Wait()
}
