package router

import (
	"net"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	// tcpFlagsOffset is the byte of a TCP header that holds its flags.
	tcpFlagsOffset = 13
	tcpSYN         = 0x02
	// keepWhole lets a packet pass the filter uncut.
	keepWhole = 0xffffffff
)

// dropNewConnections makes the kernel drop the first packet of new connections
// to a listener. A caller that connects sends it again after a second, and is
// refused then if the listener is closed; connections that wait to be accepted
// are not affected.
func dropNewConnections(l *net.TCPListener) error {
	program := []unix.SockFilter{
		{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: tcpFlagsOffset},
		{Code: unix.BPF_JMP | unix.BPF_JSET | unix.BPF_K, Jt: 0, Jf: 1, K: tcpSYN},
		{Code: unix.BPF_RET | unix.BPF_K, K: 0},
		{Code: unix.BPF_RET | unix.BPF_K, K: keepWhole},
	}
	raw, err := l.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "get the descriptor of the listener")
	}
	var failed error
	err = raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: uint16(len(program)), Filter: &program[0]})
	})
	return errors.Wrap(errors.CombineErrors(err, failed), "attach a filter to the listener")
}
