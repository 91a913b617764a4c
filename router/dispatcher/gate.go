package dispatcher

import (
	"sync"

	"github.com/cockroachdb/errors"
)

// errGateClosed stops a connection that opened after its attempt had ended.
var errGateClosed = errors.New("attempt has ended")

// gate runs the last check once, at most until the attempt ends. The transport
// may finish dialling in its own goroutine after the attempt was given up; the
// check must not report a dispatch then.
type gate struct {
	mutex       sync.Mutex
	done, ended bool
	err         error
}

// pass runs check on the first call and returns its result on every call.
func (g *gate) pass(check func() error) error {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.done {
		return g.err
	}
	if g.ended {
		return errGateClosed
	}
	g.done = true
	if check != nil {
		g.err = check()
	}
	return g.err
}

func (g *gate) close() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.ended = true
}

func (g *gate) passed() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.done && g.err == nil
}

func (g *gate) failure() error {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.err
}
