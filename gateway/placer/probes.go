package placer

import (
	"time"

	"monsoondeck.example/gateway/registrar"
)

// Probes returns the unreachable targets to which a connection should be tried now,
// and records that it is.
func (f *Fleet) Probes(now time.Duration) []registrar.Entry {
	var due []registrar.Entry
	for _, t := range f.targets {
		if t.health.startProbeIfDue(now) {
			due = append(due, t.entry)
		}
	}
	return due
}

// Probed records the result of a probe.
func (f *Fleet) Probed(now time.Duration, id string, reached bool) {
	if t := f.targets[id]; t != nil {
		t.health.recordProbe(now, reached)
	}
}
