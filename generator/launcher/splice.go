package launcher

import (
	"io"
	"net"
	"sync"
)

// splice copies between two connections until both directions have ended. The
// end of a stream is passed on as a half close, a reset as a reset.
func splice(a, b *net.TCPConn) {
	var group sync.WaitGroup
	group.Go(func() { pass(a, b) })
	pass(b, a)
	group.Wait()
}

func pass(to, from *net.TCPConn) {
	if _, err := io.Copy(to, from); err != nil {
		reset(to)
		reset(from)
		return
	}
	_ = to.CloseWrite() // the other end may have gone
}

// reset closes a connection so that the other end sees an error.
func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}
