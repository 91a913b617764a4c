package launcher

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
)

// dialer returns the process among candidates that holds the other end of an
// accepted loopback connection, or 0. All daemons of a fleet dial from the same
// address, so only the owner of the socket tells which one it was.
func dialer(accepted net.Conn, candidates []int) int {
	remote, local := accepted.RemoteAddr().(*net.TCPAddr), accepted.LocalAddr().(*net.TCPAddr)
	inode := socketInode(remote, local)
	if inode == "" {
		return 0
	}
	for _, pid := range candidates {
		if holds(pid, "socket:["+inode+"]") {
			return pid
		}
	}
	return 0
}

// socketInode returns the inode of the IPv4 socket with the given ends.
func socketInode(from, to *net.TCPAddr) string {
	f, err := os.Open("/proc/net/tcp")
	if err != nil {
		return ""
	}
	defer func() { _ = f.Close() }()
	want := [2]string{kernelAddress(from), kernelAddress(to)}
	const localField, remoteField, inodeField = 1, 2, 9
	for lines := bufio.NewScanner(f); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) > inodeField && fields[localField] == want[0] && fields[remoteField] == want[1] {
			return fields[inodeField]
		}
	}
	return ""
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

func holds(pid int, socket string) bool {
	directory := fmt.Sprintf("/proc/%d/fd", pid)
	entries, err := os.ReadDir(directory)
	if err != nil {
		return false
	}
	for _, e := range entries {
		if target, err := os.Readlink(filepath.Join(directory, e.Name())); err == nil && target == socket {
			return true
		}
	}
	return false
}
