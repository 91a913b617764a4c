package launcher

import (
	"io"
	"net"
	"sync"
)

// splice copies between two connections until both directions have ended. It
// forwards the end of a stream as a half-close and a reset as a reset.
func splice(a, b *net.TCPConn) {
	var group sync.WaitGroup
	group.Go(func() { copyOneWay(a, b) })
	copyOneWay(b, a)
	group.Wait()
}

// copyOneWay copies one direction and forwards its end.
func copyOneWay(to, from *net.TCPConn) {
	if _, err := io.Copy(to, from); err != nil {
		reset(to)
		reset(from)
		return
	}
	_ = to.CloseWrite() // fails if the other end has closed already
}

// reset closes a connection by a TCP reset, so that the other end gets an error.
func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}
