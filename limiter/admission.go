package limiter

import (
	"sync"

	"github.com/cockroachdb/errors"
)

// Errors returned by Admit, OpenRequest and Grow.
var (
	ErrQueueFull = errors.New("limiter: the account's queue is full")
	ErrBytesFull = errors.New("limiter: too many bytes are held")
	ErrReleased  = errors.New("limiter: the charge is not open")
)

// AdmissionSettings bounds the requests and the memory of one process. A bound of 0 means
// no bound.
type AdmissionSettings struct {
	// AccountRequests and AccountBytes bound the requests and their bytes per account.
	AccountRequests int
	AccountBytes    int64
	// TotalBytes bounds the sum of all charges.
	TotalBytes int64
	// HeaderBytes bounds the sum of KindHeader, which connections hold before their
	// requests can be told apart.
	HeaderBytes int64
	// ReservedBytes and ReservedHeaderBytes are the parts of TotalBytes and HeaderBytes that
	// only charges of up to SmallBytes may take, so that large bodies and headers cannot
	// keep out ordinary requests.
	ReservedBytes, ReservedHeaderBytes, SmallBytes int64
}

// accountQueue counts the admitted requests of one account that have not been released.
type accountQueue struct {
	requests int
	bytes    int64
}

// Admission is the account of the memory that others make a process hold, and bounds the
// queues of client accounts. It is safe for concurrent use.
type Admission struct {
	settings AdmissionSettings
	// shortage holds a signal after memory was refused.
	shortage chan struct{}

	// mutex guards the fields below and those of all open charges.
	mutex  sync.Mutex
	queues map[string]*accountQueue
	// requestLimits holds the accounts whose limit differs from AccountRequests.
	requestLimits map[string]int
	// bytes is the sum of all charges, kinds their sum by kind.
	bytes int64
	kinds [kindCount]int64
	// refusals counts the refused calls of Grow by kind.
	refusals [kindCount]int64
	// watched holds the charges of transfers that may be evicted.
	watched map[*Charge]struct{}
}

// NewAdmission returns an Admission without charges.
func NewAdmission(s AdmissionSettings) *Admission {
	return &Admission{
		settings: s, shortage: make(chan struct{}, 1), queues: map[string]*accountQueue{}, requestLimits: map[string]int{},
		watched: map[*Charge]struct{}{},
	}
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

// Admit takes a place in the account's queue for a request with a body, or returns
// ErrQueueFull or ErrBytesFull. The caller calls release when the request leaves the
// queue; further calls have no effect.
func (a *Admission) Admit(account string, bytes int64) (release func(), err error) {
	c := &Charge{}
	if err := a.OpenRequest(c, account); err != nil {
		return nil, err
	}
	if err := c.Grow(KindBody, bytes); err != nil {
		c.Release()
		return nil, err
	}
	return c.Release, nil
}
