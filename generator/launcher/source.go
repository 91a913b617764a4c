package launcher

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
)

// finder finds the processes that hold the other ends of accepted loopback
// connections. All daemons of a fleet dial from the same address, so only the
// owner of the socket tells which one it was. The list of sockets is read once
// for all connections that wait: reading it for each took longer than daemons
// wait for an answer when there were many, and they dialled again.
type finder struct {
	questions chan question
	done      chan struct{}
}

type question struct {
	ends   string // addresses as the dialler's socket has them
	pids   []int  // candidates
	answer chan owner
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
	remote, local := accepted.RemoteAddr().(*net.TCPAddr), accepted.LocalAddr().(*net.TCPAddr)
	q := question{kernelAddress(remote) + " " + kernelAddress(local), candidates, make(chan owner, 1)}
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
	sockets, owners := inodes(), map[int]map[string]bool{}
	for _, q := range questions {
		inode := sockets[q.ends]
		found := owner{owned: inode != "" && inode != noInode}
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

// noInode stands in /proc/net/tcp for a socket that no process holds any more.
const noInode = "0"

// inodes returns the inodes of all IPv4 sockets by their ends.
func inodes() map[string]string {
	out := map[string]string{}
	f, err := os.Open("/proc/net/tcp")
	if err != nil {
		return out
	}
	defer func() { _ = f.Close() }()
	const localField, remoteField, inodeField = 1, 2, 9
	for lines := bufio.NewScanner(f); lines.Scan(); {
		if fields := strings.Fields(lines.Text()); len(fields) > inodeField {
			out[fields[localField]+" "+fields[remoteField]] = fields[inodeField]
		}
	}
	return out
}

// kernelAddress returns an address as /proc/net/tcp shows it on little-endian
// machines.
func kernelAddress(a *net.TCPAddr) string {
	ip := a.IP.To4()
	if ip == nil {
		return ""
	}
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], a.Port)
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
