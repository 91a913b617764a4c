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

// ownerFinder finds the processes that hold the other ends of accepted loopback
// connections. All daemons of a fleet dial from the same IP address, so only the
// owner of the socket tells them apart. The sockets of a process are listed once for
// all pending lookups.
type ownerFinder struct {
	lookups chan lookup
	done    chan struct{}
}

// lookup asks which of some processes dialled a connection.
type lookup struct {
	dialler, accepted net.Addr // addresses of the two ends
	pids              []int    // candidate processes
	result            chan owner
}

// owner is the process that holds the other end of a connection.
type owner struct {
	// pid is 0 if it is none of the candidates.
	pid int
	// owned is set if any process holds the other end.
	owned bool
}

func newOwnerFinder() *ownerFinder {
	f := &ownerFinder{lookups: make(chan lookup, maxPendingLookups), done: make(chan struct{})}
	go f.run()
	return f
}

// maxPendingLookups is the capacity of the queue of lookups. It bounds the number of
// lookups that share one listing of sockets.
const maxPendingLookups = 4096

// find returns the dialling process among candidates, or 0, and whether any
// process still holds the connection.
func (f *ownerFinder) find(accepted net.Conn, candidates []int) (pid int, owned bool) {
	q := lookup{accepted.RemoteAddr(), accepted.LocalAddr(), candidates, make(chan owner, 1)}
	select {
	case f.lookups <- q:
	case <-f.done:
		return 0, false
	}
	select {
	case o := <-q.result:
		return o.pid, o.owned
	case <-f.done:
		return 0, false
	}
}

func (f *ownerFinder) close() { close(f.done) }

// run resolves lookups until close, all pending ones at a time.
func (f *ownerFinder) run() {
	for {
		select {
		case q := <-f.lookups:
			f.resolve(append(f.takePending(), q))
		case <-f.done:
			return
		}
	}
}

// takePending removes the pending lookups from the queue and returns them.
func (f *ownerFinder) takePending() []lookup {
	var out []lookup
	for {
		select {
		case q := <-f.lookups:
			out = append(out, q)
		default:
			return out
		}
	}
}

// resolve sends the results of lookups. It lists the sockets of each process once.
func (f *ownerFinder) resolve(lookups []lookup) {
	owners := map[int]map[string]bool{}
	for _, q := range lookups {
		inode := inodeOf(q.dialler, q.accepted)
		found := owner{owned: inode != closedInode}
		for _, pid := range q.pids {
			if owners[pid] == nil {
				owners[pid] = socketsOf(pid)
			}
			if found.owned && owners[pid][inode] {
				found.pid = pid
			}
		}
		q.result <- found
	}
}

// closedInode is the inode of a socket that no process holds any more.
const closedInode = "0"

// inodeOf returns the inode of the dialler's socket of a connection. It asks the
// kernel for this one socket: reading the list of all sockets took seconds on a
// machine with many connections, and a request that the relay held for so long
// arrived after a configuration change that its daemon had already applied.
func inodeOf(dialler, accepted net.Addr) string {
	socket, err := netlink.SocketGet(dialler, accepted)
	if err != nil {
		return closedInode // the socket was closed in the meantime
	}
	return strconv.FormatUint(uint64(socket.INode), 10)
}

// socketsOf returns the inodes of the sockets of a process; none if it has ended.
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
