package placer

import (
	"time"

	"monsoondeck.example/gateway/registrar"
)

// StartDueProbes returns the unreachable targets to which a connection should be
// tried now, and records that it is.
func (f *Fleet) StartDueProbes(now time.Duration) []registrar.Entry {
	var due []registrar.Entry
	for _, t := range f.targets {
		if t.health.startProbeIfDue(now) {
			due = append(due, t.entry)
		}
	}
	return due
}

// RecordProbe records the result of a probe.
func (f *Fleet) RecordProbe(now time.Duration, id string, reached bool) {
	if t := f.targets[id]; t != nil {
		t.health.recordProbe(now, reached)
	}
}
