// Package launcher starts the processes of a fleet and of its stand-ins, and
// ends them.
package launcher

import (
	"bufio"
	"io"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of this package.
var (
	ErrStart    = errors.New("process could not be started")
	ErrNotReady = errors.New("process did not become ready in time")
)

// Process is one process that this package started.
type Process struct {
	Name    string
	command *exec.Cmd
	done    chan struct{}

	// mu keeps signals from a process id that is no longer ours.
	mu sync.Mutex
}

// Run starts a program. Lines of its standard output go to onLine, which may be
// nil; its standard error goes to log.
func (s *Starter) Run(name, path string, args, env []string, log io.Writer, onLine func(line []byte)) (*Process, error) {
	c := exec.Command(path, args...)
	c.Env = append(os.Environ(), env...)
	c.Stderr = log
	out, err := c.StdoutPipe()
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, name), ErrStart)
	}
	if err := s.start(c); err != nil {
		return nil, errors.Mark(errors.Wrap(err, name), ErrStart)
	}
	p := &Process{Name: name, command: c, done: make(chan struct{})}
	go func() {
		defer close(p.done)
		lines := bufio.NewScanner(out)
		for lines.Scan() {
			if onLine != nil {
				onLine(lines.Bytes())
			}
		}
		_ = c.Wait() // the exit state is kept in the command
	}()
	return p, nil
}

// ID returns the process id.
func (p *Process) ID() int { return p.command.Process.Pid }

// Done is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// Alive tells whether the process has not ended.
func (p *Process) Alive() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Kill ends the process at once.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// Terminate asks the process to stop gracefully and returns at once.
func (p *Process) Terminate() { p.signal(syscall.SIGTERM) }

// Pause stops the process from running until Continue.
func (p *Process) Pause() { p.signal(syscall.SIGSTOP) }

// Reload sends the signal that settings have changed.
func (p *Process) Reload() { p.signal(syscall.SIGHUP) }

// Continue lets a paused process run.
func (p *Process) Continue() { p.signal(syscall.SIGCONT) }

func (p *Process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.Alive() {
		_ = p.command.Process.Signal(s) // a process that has just ended
	}
}

// Stop ends the process, gracefully if it does so in time.
func (p *Process) Stop(grace time.Duration) {
	p.Continue()
	p.Terminate()
	t := time.NewTimer(grace)
	defer t.Stop()
	select {
	case <-p.done:
	case <-t.C:
		p.Kill()
	}
}
