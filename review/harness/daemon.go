package harness

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// restartDelay is the short delay after which the platform restarts a process.
const restartDelay = 500 * time.Millisecond

// Daemon is one process of monsoongate with its supervisor, which does what the platform
// does: it starts the process with the command of the deploy file, kills it when it
// exceeds its memory limit, and restarts it when it has ended.
type Daemon struct {
	Name, Zone            string
	Front, Ready, Control string
	metricsPort           string
	program, settings     string
	memoryMB              int
	log                   *os.File
	record                *Record

	mutex   sync.Mutex
	process *os.Process
	stopped bool
	ended   chan struct{}
	// Ends holds the times at which the process ended by itself, memory over the limit
	// included. Peak is the most memory seen, in MB.
	ends []time.Time
	peak int
}

// freePorts returns n free ports. They are held until all are known, so that they differ.
func freePorts(n int) ([]string, error) {
	var ports []string
	for range n {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }()
		_, port, _ := net.SplitHostPort(l.Addr().String())
		ports = append(ports, port)
	}
	return ports, nil
}

// NewDaemon prepares a daemon whose files are in the folder.
func NewDaemon(name, zone, program, folder, store string, memoryMB int, record *Record) (*Daemon, error) {
	ports, err := freePorts(4)
	if err != nil {
		return nil, err
	}
	d := &Daemon{Name: name, Zone: zone, program: program, settings: filepath.Join(folder, name+".conf"), memoryMB: memoryMB, record: record,
		Front: "127.0.0.1:" + ports[0], Ready: "127.0.0.1:" + ports[1], Control: "127.0.0.1:" + ports[2], metricsPort: ports[3]}
	text := fmt.Sprintf(`node-name=%s
role=gateway
machine-class=frontend
served-roles=frontend,control_plane
ip-address=127.0.0.1
availability-zone=%s
region=be-midden
listen-addresses.frontend=%s
listen-addresses.ready=%s
listen-addresses.control-plane=%s
first-start=true
limits.cpu-fraction=0.4
limits.cpu-cores=1
limits.memory-mb=%d
limits.file-descriptors=4100
limits.link-mbps=1000.0
heartbeat-interval-ms=1200
bounds.connectivity-ms=3000
bounds.drain-timeout-ms=2000
bounds.grace-period-s=8
bounds.loss-slack-ms=200
bounds.config-propagation-ms=2000
bounds.retry-budget-ratio=0.2
bounds.retry-window-s=10
bounds.budget-slack=58
bounds.quota-window-s=4
platform.address=%s
`, name, zone, d.Front, d.Ready, d.Control, memoryMB, store)
	if err := os.WriteFile(d.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	if d.log, err = os.Create(filepath.Join(folder, name+".log")); err != nil {
		return nil, err
	}
	return d, nil
}

// Start starts the process and its supervisor.
func (d *Daemon) Start() error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.startLocked()
}

func (d *Daemon) startLocked() error {
	c := exec.Command(d.program, "--metrics-port", d.metricsPort)
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "MONSOONDECK_CONFIG=" + d.settings}
	c.Stdout, c.Stderr = d.log, d.log
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	d.process = c.Process
	exited := make(chan struct{})
	d.ended = exited
	go d.watchMemory(c.Process, exited)
	go func() {
		_ = c.Wait()
		close(exited)
		d.mutex.Lock()
		stopped := d.stopped
		if !stopped {
			d.ends = append(d.ends, time.Now())
		}
		d.mutex.Unlock()
		if stopped {
			return
		}
		d.record.Add("daemon %s ended by itself: %v", d.Name, c.ProcessState)
		time.Sleep(restartDelay)
		d.mutex.Lock()
		defer d.mutex.Unlock()
		if !d.stopped {
			if err := d.startLocked(); err != nil {
				d.record.Add("daemon %s did not start: %v", d.Name, err)
			}
		}
	}()
	return nil
}

// watchMemory kills the process when its memory exceeds the limit.
func (d *Daemon) watchMemory(p *os.Process, exited <-chan struct{}) {
	for {
		select {
		case <-exited:
			return
		case <-time.After(20 * time.Millisecond):
		}
		mb, ok := anonymousMB(p.Pid)
		if !ok {
			continue
		}
		d.mutex.Lock()
		d.peak = max(d.peak, mb)
		d.mutex.Unlock()
		if mb > d.memoryMB {
			d.record.Add("daemon %s uses %d MB, over its limit of %d MB: killed", d.Name, mb, d.memoryMB)
			_ = p.Kill()
			return
		}
	}
}

// anonymousMB returns the resident anonymous memory of a process, without its program
// file.
func anonymousMB(pid int) (int, bool) {
	f, err := os.Open(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, false
	}
	defer func() { _ = f.Close() }()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		if text, ok := strings.CutPrefix(lines.Text(), "RssAnon:"); ok {
			kb, err := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(text), " kB"))
			return kb >> 10, err == nil
		}
	}
	return 0, false
}

// IsReady reports whether the daemon answers the readiness check with 200.
func (d *Daemon) IsReady() bool {
	c := http.Client{Timeout: time.Second}
	defer c.CloseIdleConnections()
	r, err := c.Get("http://" + d.Ready + "/readiness")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// AwaitReady waits until the daemon is ready.
func (d *Daemon) AwaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if d.IsReady() {
			return true
		}
	}
	return false
}

// Signal sends a signal to the process.
func (d *Daemon) Signal(s os.Signal) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.process != nil {
		_ = d.process.Signal(s)
	}
}

// Stop kills the process for good and waits for its end.
func (d *Daemon) Stop() {
	d.mutex.Lock()
	d.stopped = true
	ended := d.ended
	if d.process != nil {
		_ = d.process.Kill()
	}
	d.mutex.Unlock()
	if ended != nil {
		<-ended
	}
	_ = d.log.Close()
}

// Ends returns how often the process ended by itself, and the most memory that it used.
func (d *Daemon) Ends() (ends []time.Time, peakMB int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return append([]time.Time(nil), d.ends...), d.peak
}
