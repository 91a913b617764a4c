package scheduler

import "math"

// prefixCapacity is the number of prompt prefixes whose last target is remembered.
const prefixCapacity = 4096

// affinityLoadFactor is the load of a target, relative to the mean of the shard, up to which
// requests go to the target that last served their prompt prefix.
const affinityLoadFactor = 1.25

// prefixCache maps the hash of a prompt prefix to the target that last served it. When it is
// full, the prefix that was inserted first is dropped.
type prefixCache struct {
	targets map[uint64]string
	// ring holds the prefixes in order of insertion; when it is full, next is the oldest one.
	ring     []uint64
	capacity int
	next     int
}

func newPrefixCache(capacity int) prefixCache {
	return prefixCache{targets: map[uint64]string{}, capacity: capacity}
}

// put records that t served a prefix; 0 means no prefix.
func (p *prefixCache) put(prefix uint64, t *target) {
	if prefix == 0 {
		return
	}
	if _, found := p.targets[prefix]; !found {
		if len(p.ring) < p.capacity {
			p.ring = append(p.ring, prefix)
		} else {
			delete(p.targets, p.ring[p.next])
			p.ring[p.next] = prefix
			p.next = (p.next + 1) % len(p.ring)
		}
	}
	p.targets[prefix] = t.id
}

// chooseTarget returns a target with a free slot, or nil if there is none. It prefers the target
// that last served the prefix if its load is near the mean, and otherwise returns the target
// with the smallest load.
func (s *Scheduler) chooseTarget(prefix uint64) *target {
	if prefix != 0 {
		t := s.targets[s.prefixTargets.targets[prefix]]
		if t != nil && t.usedSlots < t.limit && t.usedSlots <= s.affinitySlotLimit(t) {
			return t
		}
	}
	var best *target
	for _, t := range s.targetOrder {
		if t.usedSlots < t.limit && (best == nil || t.usedSlots*best.limit < best.usedSlots*t.limit) {
			best = t
		}
	}
	return best
}

// affinitySlotLimit returns the number of used slots up to which t is preferred for its cached
// prefixes. It is rounded up so that affinity also works in a lightly loaded shard.
func (s *Scheduler) affinitySlotLimit(t *target) int {
	mean := float64(s.usedSlots) / float64(max(s.slotLimit, 1))
	return int(math.Ceil(affinityLoadFactor * mean * float64(t.limit)))
}
