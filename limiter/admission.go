package limiter

import (
	"sync"

	"github.com/cockroachdb/errors"
)

// Errors returned by Admit.
var (
	ErrQueueFull = errors.New("limiter: the account's queue is full")
	ErrBytesFull = errors.New("limiter: too many bytes are queued")
)

// AdmissionSettings bounds the waiting requests of one router. A bound of 0 means no bound.
type AdmissionSettings struct {
	// AccountRequests and AccountBytes bound the requests and their bytes per account.
	AccountRequests int
	AccountBytes    int64
	// TotalBytes bounds the bytes queued for all accounts.
	TotalBytes int64
}

// accountQueue counts the admitted requests of one account that have not been released.
type accountQueue struct {
	requests int
	bytes    int64
}

// Admission bounds the queues of one router. It is safe for concurrent use.
type Admission struct {
	settings AdmissionSettings
	mutex    sync.Mutex
	queues   map[string]*accountQueue
	// requestLimits holds the accounts whose limit differs from AccountRequests.
	requestLimits map[string]int
	// bytes is the sum of the bytes of all queues.
	bytes int64
}

// NewAdmission returns an Admission with empty queues.
func NewAdmission(s AdmissionSettings) *Admission {
	return &Admission{settings: s, queues: map[string]*accountQueue{}, requestLimits: map[string]int{}}
}

// SetAccountRequests overrides AccountRequests for one account; 0 removes the override.
func (a *Admission) SetAccountRequests(account string, requests int) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if requests > 0 {
		a.requestLimits[account] = requests
	} else {
		delete(a.requestLimits, account)
	}
}

// Waiting returns the number of admitted requests of an account that have not been released.
func (a *Admission) Waiting(account string) int {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if q := a.queues[account]; q != nil {
		return q.requests
	}
	return 0
}

// Admit takes a place in the account's queue, or returns ErrQueueFull or ErrBytesFull. The caller
// calls release when the request leaves the queue; further calls have no effect.
func (a *Admission) Admit(account string, bytes int64) (release func(), err error) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	q := a.queues[account]
	if q == nil {
		q = &accountQueue{}
	}
	s := a.settings
	bytes = max(bytes, 0)
	requests, found := a.requestLimits[account]
	if !found {
		requests = s.AccountRequests
	}
	if requests > 0 && q.requests >= requests {
		return nil, ErrQueueFull
	}
	if s.AccountBytes > 0 && q.bytes+bytes > s.AccountBytes || s.TotalBytes > 0 && a.bytes+bytes > s.TotalBytes {
		return nil, ErrBytesFull
	}
	q.requests++
	q.bytes += bytes
	a.bytes += bytes
	a.queues[account] = q
	return sync.OnceFunc(func() { a.releasePlace(account, bytes) }), nil
}

// releasePlace removes a request from the account's queue.
func (a *Admission) releasePlace(account string, bytes int64) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	q := a.queues[account]
	q.requests--
	q.bytes -= bytes
	a.bytes -= bytes
	if q.requests == 0 {
		delete(a.queues, account)
	}
}
