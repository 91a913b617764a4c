package launcher

import (
	"io"
	"testing"
	"time"
)

// Guards against processes that keep running after the program that started them
// has ended without stopping them.
func TestProcessesEndWithTheirStarter(t *testing.T) {
	s := NewStarter()
	p, err := s.Run("sleep", "sleep", []string{"600"}, nil, io.Discard, nil)
	if err != nil {
		t.Fatal(err)
	}
	s.Close()
	select {
	case <-p.Done():
	case <-time.After(30 * time.Second):
		p.Kill()
		t.Fatal("the process outlived its starter")
	}
}

// Guards against a graceful stop that waits forever, and against signals to a
// process that has ended.
func TestStopKillsAPausedProcess(t *testing.T) {
	s := NewStarter()
	defer s.Close()
	lines := make(chan string, 1)
	p, err := s.Run("shell", "sh", []string{"-c", "trap '' TERM; echo ready; while :; do sleep 0.05; done"}, nil, io.Discard, func(b []byte) { lines <- string(b) })
	if err != nil {
		t.Fatal(err)
	}
	if got := <-lines; got != "ready" {
		t.Fatalf("line %q", got)
	}
	p.Pause()
	p.Stop(100 * time.Millisecond)
	if p.Alive() {
		t.Fatal("the process is still running")
	}
	p.Terminate()
	p.Kill()
}
