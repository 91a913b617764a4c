package limiter

import (
	"sync"

	"github.com/cockroachdb/errors"
)

// Errors of Admit.
var (
	ErrQueueFull = errors.New("limiter: the account's queue is full")
	ErrBytesFull = errors.New("limiter: too many bytes are queued")
)

// AdmissionSettings bounds the waiting requests of one router. A limit of 0 is unlimited.
type AdmissionSettings struct {
	// AccountRequests and AccountBytes bound the queue of each account.
	AccountRequests int
	AccountBytes    int64
	// TotalBytes bounds the bytes queued for all accounts.
	TotalBytes int64
}

type queue struct {
	requests int
	bytes    int64
}

// Admission bounds the queues of one router. It is safe for concurrent use.
type Admission struct {
	settings AdmissionSettings
	mutex    sync.Mutex
	queues   map[string]*queue
	limits   map[string]int
	bytes    int64
}

// NewAdmission returns an Admission with empty queues.
func NewAdmission(s AdmissionSettings) *Admission {
	return &Admission{settings: s, queues: map[string]*queue{}, limits: map[string]int{}}
}

// SetAccountRequests replaces AccountRequests for one account; 0 restores it.
func (a *Admission) SetAccountRequests(account string, requests int) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if requests > 0 {
		a.limits[account] = requests
	} else {
		delete(a.limits, account)
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

// Admit takes a place in the account's queue. The caller gives it back with release, once or
// more, when the request leaves the queue. Errors are ErrQueueFull and ErrBytesFull.
func (a *Admission) Admit(account string, bytes int64) (release func(), err error) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	q := a.queues[account]
	if q == nil {
		q = &queue{}
	}
	s := a.settings
	bytes = max(bytes, 0)
	requests, found := a.limits[account]
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
	return sync.OnceFunc(func() { a.leave(account, bytes) }), nil
}

func (a *Admission) leave(account string, bytes int64) {
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
