package launcher

import (
	"os/exec"
	"runtime"
	"syscall"
)

// starter starts processes from one thread of the operating system that lives as
// long as the starter. The kernel kills the processes when that thread ends, so
// that none is left when the driver itself is killed.
type starter struct {
	commands chan *exec.Cmd
	results  chan error
}

func newStarter() *starter {
	s := &starter{commands: make(chan *exec.Cmd), results: make(chan error)}
	go func() {
		// A goroutine that ends locked to its thread ends the thread as well.
		runtime.LockOSThread()
		for c := range s.commands {
			s.results <- c.Start()
		}
	}()
	return s
}

// start starts a command.
func (s *starter) start(c *exec.Cmd) error {
	// Signals of the terminal go to the driver only, which ends its processes in
	// order.
	c.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	s.commands <- c
	return <-s.results
}

// close kills the processes that still run.
func (s *starter) close() { close(s.commands) }
