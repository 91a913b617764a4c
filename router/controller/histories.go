package controller

import (
	"sync"
	"time"

	"monsoondeck.example/router/locator"
)

// maxHistories limits the number of past requests whose wait can be explained.
const maxHistories = 4096

// History describes the wait of one request for one grant.
type History struct {
	RequestID  string        `json:"requestID"`
	Account    string        `json:"account"`
	Pool       string        `json:"pool"`
	Waited     time.Duration `json:"waitedNanoseconds"`
	Target     string        `json:"target"`
	Shard      string        `json:"shard"`
	Owner      string        `json:"owner"`
	QueueAhead int           `json:"queueAhead"`
	GrantedAt  time.Time     `json:"grantedAt"`
}

// histories is a ring buffer of the newest entries. The control goroutine writes
// it; the admin listener reads it.
type histories struct {
	mutex sync.Mutex
	ring  []History
	next  int
}

func newHistories() *histories { return &histories{ring: make([]History, 0, maxHistories)} }

func (h *histories) recordGrant(w *waiter, target string, s locator.Shard, now time.Duration) {
	entry := History{
		RequestID: w.request.ID, Account: w.request.Account, Pool: w.request.Pool,
		Waited: now - w.enqueued, Target: target, Shard: s.Name, Owner: s.Owner,
		QueueAhead: w.queueAhead, GrantedAt: time.Now(),
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if len(h.ring) < maxHistories {
		h.ring = append(h.ring, entry)
		return
	}
	h.ring[h.next] = entry
	h.next = (h.next + 1) % maxHistories
}

// RequestHistory returns the history of a request, one entry for each grant.
func (c *Controller) RequestHistory(id string) []History {
	return c.histories.find(func(e History) bool { return e.RequestID == id })
}

// AccountHistory returns the history of a client account's newest requests.
func (c *Controller) AccountHistory(id string) []History {
	return c.histories.find(func(e History) bool { return e.Account == id })
}

func (h *histories) find(match func(History) bool) []History {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	found := []History{}
	for _, e := range h.ring {
		if match(e) {
			found = append(found, e)
		}
	}
	return found
}
