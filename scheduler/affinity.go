package scheduler

import "math"

// prefixSize is the number of prompt prefixes whose last target is remembered.
const prefixSize = 4096

// affinityLoad is how far the load of a target may exceed the mean for a request to follow
// its prompt prefix there.
const affinityLoad = 1.25

// prefixes remembers the target that last served each prompt prefix, for the newest ones.
type prefixes struct {
	targets map[uint64]string
	ring    []uint64
	size    int
	next    int
}

func newPrefixes(size int) prefixes {
	return prefixes{targets: map[uint64]string{}, size: size}
}

func (p *prefixes) put(prefix uint64, t *target) {
	if prefix == 0 {
		return
	}
	if _, found := p.targets[prefix]; !found {
		if len(p.ring) < p.size {
			p.ring = append(p.ring, prefix)
		} else {
			delete(p.targets, p.ring[p.next])
			p.ring[p.next] = prefix
			p.next = (p.next + 1) % len(p.ring)
		}
	}
	p.targets[prefix] = t.id
}

// choose returns a target with a free slot, or nil: the one that last served the prefix when
// its load is near the mean, otherwise the one with the smallest load.
func (s *Scheduler) choose(prefix uint64) *target {
	if prefix != 0 {
		t := s.targets[s.prefix.targets[prefix]]
		if t != nil && t.used < t.limit && t.used <= s.nearMean(t) {
			return t
		}
	}
	var best *target
	for _, t := range s.order {
		if t.used < t.limit && (best == nil || t.used*best.limit < best.used*t.limit) {
			best = t
		}
	}
	return best
}

// nearMean is the number of used slots up to which t may be preferred. It is rounded up so
// that a lightly loaded shard keeps its cached prefixes.
func (s *Scheduler) nearMean(t *target) int {
	mean := float64(s.used) / float64(max(s.limit, 1))
	return int(math.Ceil(affinityLoad * mean * float64(t.limit)))
}
