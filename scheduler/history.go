package scheduler

// historySize bounds the grants remembered after their end. Older ones may be charged twice
// when a settlement is repeated after that many others.
const historySize = 16384

// ending is what remains known of a grant whose lease ended, or of a settled grant of an
// earlier epoch. It is outdated while the grant is held again.
type ending struct {
	member            string
	estimate, charged float64
	settled           bool
}

// history remembers ended grants, the oldest being dropped first.
type history struct {
	endings map[grantKey]ending
	ring    []grantKey
	size    int
	next    int
}

func newHistory(size int) history {
	return history{endings: map[grantKey]ending{}, size: size}
}

func (h *history) get(key grantKey) (ending, bool) {
	e, found := h.endings[key]
	return e, found
}

func (h *history) put(key grantKey, e ending) {
	if _, found := h.endings[key]; !found {
		if len(h.ring) < h.size {
			h.ring = append(h.ring, key)
		} else {
			delete(h.endings, h.ring[h.next])
			h.ring[h.next] = key
			h.next = (h.next + 1) % len(h.ring)
		}
	}
	h.endings[key] = e
}
