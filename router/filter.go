package router

import (
	"net"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	// tcpFlagsOffset is the offset of the flags in a TCP header, in bytes.
	tcpFlagsOffset = 13
	tcpSYN         = 0x02
	// acceptWholePacket is the filter result that accepts a packet untruncated.
	acceptWholePacket = 0xffffffff
)

// dropNewConnections makes the kernel drop the SYN packets of new connections to
// a listener. A client sends its SYN again after a second; if the listener is
// closed by then, the connection is refused. Connections in the accept queue are
// not affected.
func dropNewConnections(l *net.TCPListener) error {
	program := []unix.SockFilter{
		{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: tcpFlagsOffset},
		{Code: unix.BPF_JMP | unix.BPF_JSET | unix.BPF_K, Jt: 0, Jf: 1, K: tcpSYN},
		{Code: unix.BPF_RET | unix.BPF_K, K: 0},
		{Code: unix.BPF_RET | unix.BPF_K, K: acceptWholePacket},
	}
	raw, err := l.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "get the descriptor of the listener")
	}
	var attachError error
	err = raw.Control(func(fd uintptr) {
		attachError = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: uint16(len(program)), Filter: &program[0]})
	})
	return errors.Wrap(errors.CombineErrors(err, attachError), "attach a filter to the listener")
}
