package dialer

import (
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	// checkInterval is how often the state of a connection is read while data is sent on
	// it. The user timeout is extended several times before it can end.
	checkInterval = userTimeout / 6
	// maxAnswerAge is how long after an answer of the peer the user timeout is extended. The
	// kernel probes a closed window before the user timeout ends, so that the next answer
	// comes in time for a further extension.
	maxAnswerAge = time.Second
	// probeInterval bounds the time between two probes. Without it, the kernel doubles the
	// time with each probe, and a path that falls silent is not noticed before the next one.
	// The kernel takes no less than a second.
	probeInterval = time.Second
)

// AllowSlowPeer lets the peer of a connection read slowly. The kernel applies the user
// timeout also to a peer that has closed its receive window but answers all probes. It may
// count from the first time that the window was closed, even if there was progress since.
// Therefore the user timeout is extended while the peer answers, and the connection is
// closed here if it then falls silent.
//
// It ends once written reports that no more data will be written and all data is
// acknowledged, when the connection is closed, or with the call of stop. If stop reports
// that the user timeout was extended, the connection must not be used for further data.
func AllowSlowPeer(c net.Conn, written func() bool) (stop func() (extended bool)) {
	s, err := newTCPSocket(c)
	if err != nil {
		return func() bool { return false } // closed, or not TCP
	}
	info, err := s.info()
	if err != nil {
		return func() bool { return false } // closed, or a network stack without this state
	}
	p := &slowPeer{socket: s, written: written, begin: time.Now(), acknowledged: info.Bytes_acked}
	stopped, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		p.run(stopped)
	}()
	stopOnce := sync.OnceFunc(func() { close(stopped) })
	return func() bool {
		stopOnce()
		<-ended
		return p.extended
	}
}

// socket is the socket of a connection.
type socket interface {
	info() (*unix.TCPInfo, error)
	setUserTimeout(time.Duration) error
	setProbeInterval(time.Duration) error
	Close() error
}

// slowPeer extends the user timeout of a connection.
type slowPeer struct {
	socket  socket
	written func() bool
	// begin precedes all times from which the kernel may count the user timeout.
	begin time.Time
	// acknowledged is the number of bytes that the peer had acknowledged at the last check.
	acknowledged uint64
	// answered is when the peer last answered to data or a probe.
	answered time.Time
	// waiting is since when an answer of the peer has been awaited. It isn't before answered.
	waiting time.Time
	// extended is set once the user timeout was longer than userTimeout.
	extended bool
}

func (p *slowPeer) run(stopped <-chan struct{}) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stopped:
			return
		case <-ticker.C:
			if !p.check(time.Now()) {
				return
			}
		}
	}
}

// check extends the user timeout if the peer answers, and closes the connection if the peer
// has stopped answering since. It returns false once there is nothing more to check.
//
// An emulated network stack may report a state that is zero, or in part. Then there are no answers,
// and the user timeout stays as it is.
func (p *slowPeer) check(now time.Time) bool {
	info, err := p.socket.info()
	if err != nil {
		return false // closed
	}
	p.observe(info, now)
	switch {
	case info.Unacked == 0 && info.Notsent_bytes == 0:
		if !p.written() {
			return true
		}
		if p.extended {
			_ = p.socket.setUserTimeout(userTimeout) // fails only if the connection is closed
		}
		return false
	case now.Sub(p.answered) <= maxAnswerAge:
		if !p.extended {
			p.extended = true
			// Linux before 6.15 does not have the option. Probes are then rarer if the window
			// was opened and closed again before.
			_ = p.socket.setProbeInterval(probeInterval)
		}
		return p.socket.setUserTimeout(now.Sub(p.begin)+userTimeout) == nil
	case p.extended && now.Sub(p.waiting) >= userTimeout:
		_ = p.socket.Close() // says nothing about the request
		return false
	}
	return true
}

// observe updates answered and waiting.
func (p *slowPeer) observe(info *unix.TCPInfo, now time.Time) {
	// With data in flight and an open window, only progress is an answer to it: the peer
	// may send data of its own without receiving anything.
	probing := info.Unacked == 0 || info.Snd_wnd == 0
	if info.Bytes_acked != p.acknowledged {
		p.acknowledged, p.answered = info.Bytes_acked, now
	} else if probing && info.Last_ack_recv > 0 {
		p.answered = now.Add(-time.Duration(info.Last_ack_recv) * time.Millisecond)
	}
	if info.Unacked == 0 && info.Probes == 0 {
		p.waiting = now
	} else if p.answered.After(p.waiting) {
		p.waiting = p.answered
	}
}

// tcpSocket is the socket of a TCP connection.
type tcpSocket struct {
	net.Conn
	raw syscall.RawConn
}

func newTCPSocket(c net.Conn) (tcpSocket, error) {
	s, ok := c.(syscall.Conn)
	if !ok {
		return tcpSocket{}, errors.New("the connection has no socket")
	}
	raw, err := s.SyscallConn()
	return tcpSocket{Conn: c, raw: raw}, err
}

func (s tcpSocket) info() (*unix.TCPInfo, error) {
	var info *unix.TCPInfo
	var sockoptErr error
	err := s.raw.Control(func(fd uintptr) {
		info, sockoptErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	return info, errors.CombineErrors(err, sockoptErr)
}

func (s tcpSocket) setUserTimeout(d time.Duration) error {
	return setOption(s.raw, unix.TCP_USER_TIMEOUT, d)
}

func (s tcpSocket) setProbeInterval(d time.Duration) error {
	return setOption(s.raw, unix.TCP_RTO_MAX_MS, d)
}
