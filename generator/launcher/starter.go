package launcher

import (
	"os/exec"
	"runtime"
	"syscall"
)

// Starter starts processes from one thread of the operating system that lives as
// long as the starter. The kernel kills the processes when that thread ends, so
// that none is left when the driver itself is killed.
type Starter struct {
	commands chan *exec.Cmd
	results  chan error
}

// NewStarter returns a Starter; Close must be called.
func NewStarter() *Starter {
	s := &Starter{commands: make(chan *exec.Cmd), results: make(chan error)}
	go s.serve()
	return s
}

// serve starts the commands from one thread.
func (s *Starter) serve() {
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
func (s *Starter) start(c *exec.Cmd) error {
	// Signals of the terminal go to the driver only, which ends its processes in
	// order.
	c.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	s.commands <- c
	return <-s.results
}

// Close kills the processes that still run.
func (s *Starter) Close() { close(s.commands) }
