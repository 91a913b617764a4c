package dispatcher

import (
	"sync"

	"github.com/cockroachdb/errors"
)

// errAttemptEnded rejects a connection that opened after its attempt had ended.
var errAttemptEnded = errors.New("attempt ended before its connection opened")

// sendCheck runs Request.BeforeSend at most once, and not after the attempt has ended.
// The transport may finish dialling in its own goroutine after the attempt was
// abandoned; BeforeSend must not report the request as sent then.
type sendCheck struct {
	mutex      sync.Mutex
	ran, ended bool
	err        error
}

// run runs check on the first call and returns its result on every call.
func (c *sendCheck) run(check func() error) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.ran {
		return c.err
	}
	if c.ended {
		return errAttemptEnded
	}
	c.ran = true
	if check != nil {
		c.err = check()
	}
	return c.err
}

func (c *sendCheck) end() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.ended = true
}

func (c *sendCheck) passed() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.ran && c.err == nil
}

func (c *sendCheck) failure() error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.err
}
