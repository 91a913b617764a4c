package placer

import (
	"time"

	"monsoondeck.example/gateway/registrar"
)

// Probes returns the targets to which a connection should be tried now.
func (f *Fleet) Probes(now time.Duration) []registrar.Entry {
	var due []registrar.Entry
	for _, t := range f.targets {
		if t.health.probeDue(now) {
			due = append(due, t.entry)
		}
	}
	return due
}

// Probed takes the result of a probe.
func (f *Fleet) Probed(now time.Duration, id string, reached bool) {
	if t := f.targets[id]; t != nil {
		t.health.probed(now, reached)
	}
}
