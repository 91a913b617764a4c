package gateway

import (
	"context"
	"net"
	"sync/atomic"
	"time"
)

// admissionTime is how long the admission of a new connection holds for its first request.
// Callers send it with the connection; a busy host reads it some time later.
const admissionTime = time.Second

// admissionKey is the context key of the connectionAdmission of a request.
type admissionKey struct{}

// connectionAdmission is the admission of a new connection, which holds for its first request:
// refusing that once more would waste what it has cost to accept and read it. It is safe for
// concurrent use.
type connectionAdmission struct {
	accepted time.Time
	taken    atomic.Bool
}

// withAdmission adds the admission of a connection that has just been accepted to the context.
func withAdmission(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(withConnection(ctx, c), admissionKey{}, &connectionAdmission{accepted: time.Now()})
}

// take reports whether the admission holds for this request. It holds once.
func (a *connectionAdmission) take() bool {
	return !a.taken.Swap(true) && time.Since(a.accepted) < admissionTime
}
