package quarantiner

import "time"

// generations holds the times at which answers began, by part, in two maps of bounded
// size: the older one is dropped when the newer one is full.
type generations struct {
	current, previous map[Part]time.Duration
	// size bounds each of the maps.
	size int
}

func newGenerations(size int) *generations {
	return &generations{current: map[Part]time.Duration{}, size: size}
}

// record records that an answer began at the given time.
func (g *generations) record(p Part, began time.Duration) {
	if len(g.current) >= g.size {
		g.current, g.previous = make(map[Part]time.Duration, g.size), g.current
	}
	g.current[p] = max(g.current[p], began)
}

// began returns the time at which the last answer began; false if none is known.
func (g *generations) began(p Part) (time.Duration, bool) {
	if at, ok := g.current[p]; ok {
		return at, true
	}
	at, ok := g.previous[p]
	return at, ok
}
