package launcher

import (
	"os/exec"
	"runtime"
	"syscall"
)

// Starter starts processes from one thread of the operating system that lives as
// long as the starter. The kernel kills the processes when that thread ends, so
// that none is left running when this process itself is killed.
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

// serve starts the commands from one thread until Close.
func (s *Starter) serve() {
	// When a goroutine that is locked to its thread ends, Go ends the thread, except
	// for the main thread of the process.
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

// start starts a command on the starter's thread and waits until it has started.
func (s *Starter) start(c *exec.Cmd) error {
	// A process group of its own keeps signals of the terminal from the process, so
	// that this program can end its processes in order.
	c.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	s.commands <- c
	return <-s.results
}

// Close kills the processes that are still running.
func (s *Starter) Close() { close(s.commands) }
