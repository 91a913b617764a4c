package gateway

import (
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"monsoondeck.example/gateway/meter"
)

// arrived returns the time at which a request arrived, whose header was just read. A busy host
// reads requests that the kernel received seconds before. It is the time of the call if the
// kernel does not tell.
func arrived(r *http.Request) time.Time {
	c, ok := r.Context().Value(connectionKey{}).(syscall.Conn)
	if !ok {
		return time.Now()
	}
	age := sinceLastData(c)
	at := time.Now().Add(-age)
	if metered, ok := c.(*meter.Conn); ok {
		at = metered.RecordArrival(at)
	}
	return at
}

// sinceLastData returns the time since data last arrived on a connection, whether it was read
// or not, as the kernel counts it in ticks of its clock (tcp(7), TCP_INFO). A request on the
// connection is at least that old. 0 may mean that the kernel does not count it.
func sinceLastData(c syscall.Conn) time.Duration {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	var info *unix.TCPInfo
	err = raw.Control(func(fd uintptr) {
		if i, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			info = i
		}
	})
	if err != nil || info == nil {
		return 0
	}
	age := info.Last_data_recv
	if info.Data_segs_out == 0 {
		age = min(age, info.Last_data_sent) // counts from the start of the connection
	}
	return time.Duration(age) * time.Millisecond
}
