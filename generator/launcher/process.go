// Package launcher starts the daemons of a fleet and the emulator of its targets
// and platform services as processes, relays the connections between them, and ends
// them.
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

// Process is a process that a Starter has started.
type Process struct {
	Name    string
	command *exec.Cmd
	done    chan struct{}

	// mu guards the check in signal that keeps signals from another process that has
	// reused the process id.
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

// Alive reports whether the process is still running.
func (p *Process) Alive() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Kill sends SIGKILL and waits until the process has ended.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// Terminate sends SIGTERM, which asks the process to stop gracefully, and does not
// wait.
func (p *Process) Terminate() { p.signal(syscall.SIGTERM) }

// Pause suspends the process by SIGSTOP until Continue.
func (p *Process) Pause() { p.signal(syscall.SIGSTOP) }

// Reload sends SIGHUP, which asks the process to read its settings again.
func (p *Process) Reload() { p.signal(syscall.SIGHUP) }

// Continue resumes a paused process by SIGCONT.
func (p *Process) Continue() { p.signal(syscall.SIGCONT) }

func (p *Process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.Alive() {
		_ = p.command.Process.Signal(s) // fails if the process has just ended
	}
}

// Stop asks the process to stop gracefully, kills it if it has not ended after
// grace, and waits until it has ended.
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
