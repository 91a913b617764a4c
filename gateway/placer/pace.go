package placer

import (
	"math"
	"time"
)

// pace is the mean pause between the events of own streams at one engine. An
// engine that always has prompts to read still answers soon, but generates one
// token for each chunk of a prompt, so that streams do not end in time. The
// pause shows this before any stream has failed.
type pace struct {
	// events and elapsed are sums that decay with paceWindow.
	events, elapsed float64
	updated         time.Duration
}

// add notes events that arrived within the elapsed time.
func (p *pace) add(now time.Duration, events int, elapsed time.Duration) {
	p.decay(now)
	p.events += float64(events)
	p.elapsed += float64(elapsed)
}

func (p *pace) decay(now time.Duration) {
	if p.updated == now || p.events == 0 {
		p.updated = now
		return
	}
	factor := math.Exp(-float64(now-p.updated) / float64(paceWindow))
	p.events *= factor
	p.elapsed *= factor
	p.updated = now
}

// lately returns the number of recent events, which is whole, and the sum of the
// pauses before them.
func (p *pace) lately(now time.Duration) (events float64, elapsed time.Duration) {
	p.decay(now)
	events = math.Round(p.events)
	if events == 0 {
		return 0, 0
	}
	return events, time.Duration(p.elapsed * events / p.events)
}
