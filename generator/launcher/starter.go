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
	go s.serve()
	return s
}

// serve starts the commands from one thread.
func (s *starter) serve() {
	// A goroutine that ends locked to its thread ends the thread as well, but for the
	// main thread of the process, which Go keeps.
	runtime.LockOSThread()
	if syscall.Gettid() == syscall.Getpid() {
		served := make(chan struct{})
		go func() { defer close(served); s.serve() }() // runs on another thread
		<-served
		runtime.UnlockOSThread()
		return
	}
	for c := range s.commands {
		s.results <- c.Start()
	}
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
