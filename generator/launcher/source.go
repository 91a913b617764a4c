package launcher

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/vishvananda/netlink"
)

// finder finds the processes that hold the other ends of accepted loopback
// connections. All daemons of a fleet dial from the same address, so only the
// owner of the socket tells which one it was. The sockets of a process are listed
// once for all connections that wait.
type finder struct {
	questions chan question
	done      chan struct{}
}

type question struct {
	dialler, accepted net.Addr // addresses of the two ends
	pids              []int    // candidates
	answer            chan owner
}

// owner is who holds the other end of a connection.
type owner struct {
	// pid is 0 if it is none of the candidates.
	pid int
	// owned is set if a process holds it.
	owned bool
}

func newFinder() *finder {
	f := &finder{questions: make(chan question, maxQuestions), done: make(chan struct{})}
	go f.run()
	return f
}

// maxQuestions bounds the connections that one reading answers.
const maxQuestions = 4096

// find returns the dialling process among candidates, or 0, and whether any
// process still holds the connection.
func (f *finder) find(accepted net.Conn, candidates []int) (pid int, owned bool) {
	q := question{accepted.RemoteAddr(), accepted.LocalAddr(), candidates, make(chan owner, 1)}
	select {
	case f.questions <- q:
	case <-f.done:
		return 0, false
	}
	select {
	case o := <-q.answer:
		return o.pid, o.owned
	case <-f.done:
		return 0, false
	}
}

func (f *finder) close() { close(f.done) }

func (f *finder) run() {
	for {
		select {
		case q := <-f.questions:
			f.answer(append(f.pending(), q))
		case <-f.done:
			return
		}
	}
}

// pending returns the questions that wait.
func (f *finder) pending() []question {
	var out []question
	for {
		select {
		case q := <-f.questions:
			out = append(out, q)
		default:
			return out
		}
	}
}

func (f *finder) answer(questions []question) {
	owners := map[int]map[string]bool{}
	for _, q := range questions {
		inode := inodeOf(q.dialler, q.accepted)
		found := owner{owned: inode != noInode}
		for _, pid := range q.pids {
			if owners[pid] == nil {
				owners[pid] = socketsOf(pid)
			}
			if found.owned && owners[pid][inode] {
				found.pid = pid
			}
		}
		q.answer <- found
	}
}

// noInode stands for a socket that no process holds any more.
const noInode = "0"

// inodeOf returns the inode of the dialler's socket of a connection. The kernel is
// asked for this one socket: reading the list of all took seconds on a machine with
// many connections, and a request that was held for so long arrived after a change
// that its daemon had seen.
func inodeOf(dialler, accepted net.Addr) string {
	socket, err := netlink.SocketGet(dialler, accepted)
	if err != nil {
		return noInode // closed meanwhile
	}
	return strconv.FormatUint(uint64(socket.INode), 10)
}

// socketsOf returns the inodes of the sockets of a process.
func socketsOf(pid int) map[string]bool {
	out := map[string]bool{}
	directory := fmt.Sprintf("/proc/%d/fd", pid)
	entries, err := os.ReadDir(directory)
	if err != nil {
		return out
	}
	for _, e := range entries {
		target, err := os.Readlink(filepath.Join(directory, e.Name()))
		if inode, ok := strings.CutPrefix(target, "socket:["); err == nil && ok {
			out[strings.TrimSuffix(inode, "]")] = true
		}
	}
	return out
}
