package scheduler

// historyCapacity bounds the number of ended grants that are remembered. A settlement repeated
// after that many others may be charged twice.
const historyCapacity = 16384

// endedGrant is the record of a grant whose lease ended, or of a settled grant of an earlier
// epoch. It is outdated while the grant holds a slot again.
type endedGrant struct {
	member            string
	estimate, charged float64
	settled           bool
}

// history holds the records of ended grants up to a capacity; the oldest is dropped first.
type history struct {
	grants map[grantKey]endedGrant
	// ring holds the keys in order of insertion; when it is full, next is the oldest one.
	ring     []grantKey
	capacity int
	next     int
}

func newHistory(capacity int) history {
	return history{grants: map[grantKey]endedGrant{}, capacity: capacity}
}

func (h *history) get(key grantKey) (endedGrant, bool) {
	e, found := h.grants[key]
	return e, found
}

// put adds or replaces the record of a grant.
func (h *history) put(key grantKey, e endedGrant) {
	if _, found := h.grants[key]; !found {
		if len(h.ring) < h.capacity {
			h.ring = append(h.ring, key)
		} else {
			delete(h.grants, h.ring[h.next])
			h.ring[h.next] = key
			h.next = (h.next + 1) % len(h.ring)
		}
	}
	h.grants[key] = e
}
