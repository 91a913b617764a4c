package soaker

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"monsoondeck.example/generator/launcher"
	"monsoondeck.example/injector"
	"monsoondeck.example/platform/wire"
)

// daemon is one process under test. It keeps its addresses across restarts.
type daemon struct {
	name, dataCentre               string
	callers, ready, peers, metrics string
	settings                       string
	storeLink, spareLink, peerLink *injector.Link
	fleet                          *fleet
	mutex                          sync.Mutex
	process                        *launcher.Process
	incarnation                    int
	// asked is set if the end of the process is wanted; exits counts the other ends.
	asked bool
	exits int
}

// start starts the process with the store behind the current link.
func (d *daemon) start() error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if err := d.writeSettingsLocked(); err != nil {
		return err
	}
	if d.process != nil && d.process.Alive() {
		return nil
	}
	log, closeLog, err := d.openLog()
	if err != nil {
		return err
	}
	_, port, err := net.SplitHostPort(d.metrics)
	if err != nil {
		closeLog()
		return errors.Wrap(err, "address for metrics")
	}
	p, err := d.fleet.starter.Run(d.name, d.fleet.program, []string{"--metrics-port", port}, []string{wire.SettingsVariable + "=" + d.settings}, log,
		func(line []byte) { _, _ = log.Write(append(line, '\n')) }) // a lost line of a log fails nothing
	if err != nil {
		closeLog()
		return err
	}
	d.process, d.asked = p, false
	d.incarnation++
	go func() {
		<-p.Done()
		closeLog()
		d.ended(p)
	}()
	return nil
}

// ended notes a process that ended without having been asked to.
func (d *daemon) ended(p *launcher.Process) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.process == p && !d.asked {
		d.exits++
	}
}

// openLog opens the log of one incarnation. Without a directory for logs, only
// the verbose run shows it.
func (d *daemon) openLog() (io.Writer, func(), error) {
	if d.fleet.options.Logs == "" {
		return io.Discard, func() {}, nil
	}
	name := filepath.Join(d.fleet.options.Logs, fmt.Sprintf("%s.%d.log", d.name, d.incarnation+1))
	file, err := os.Create(name)
	if err != nil {
		return nil, nil, errors.Wrap(err, "make a log file")
	}
	return file, func() { _ = file.Close() }, nil
}

// writeSettingsLocked replaces the settings file as a whole.
func (d *daemon) writeSettingsLocked() error {
	var text strings.Builder
	for _, s := range [][2]string{
		{wire.SettingHost, d.name}, {wire.SettingDataCentre, d.dataCentre}, {wire.SettingCallers, d.callers}, {wire.SettingReady, d.ready},
		{wire.SettingPeers, d.peers}, {wire.SettingStore, d.storeLink.Address()}, {wire.SettingMemory, "134"}, {wire.SettingDescriptors, "4100"},
		{wire.SettingStopWithin, fmt.Sprint(stopWithin.Seconds())}, {wire.SettingDrainBound, fmt.Sprint(drainBound.Milliseconds())},
		{wire.SettingRetryRatio, "0.2"}, {wire.SettingRetryWindow, "10"}, {wire.SettingRetrySlack, "200"}, {wire.SettingShareWindow, "4"},
	} {
		text.WriteString(s[0] + "=" + s[1] + "\n")
	}
	next := d.settings + ".next"
	if err := os.WriteFile(next, []byte(text.String()), 0o600); err != nil {
		return errors.Wrap(err, "write the settings")
	}
	return errors.Wrap(os.Rename(next, d.settings), "replace the settings")
}

// switchStore lets the settings name the other link to the store.
func (d *daemon) switchStore() error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.storeLink, d.spareLink = d.spareLink, d.storeLink
	return d.writeSettingsLocked()
}

// currentStore returns the link to the store that the settings name.
func (d *daemon) currentStore() *injector.Link {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.storeLink
}

func (d *daemon) current() *launcher.Process {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.process
}

func (d *daemon) run() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.incarnation
}

// ask returns the process and notes that its end is wanted.
func (d *daemon) ask() *launcher.Process {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.asked = true
	return d.process
}

func (d *daemon) kill() {
	if p := d.ask(); p != nil {
		p.Kill()
	}
}

// isReady asks the daemon whether it is ready.
func (d *daemon) isReady() bool {
	_, ok := get("http://" + d.ready + "/readiness")
	return ok
}

// get returns the body of a successful answer.
func get(url string) (string, bool) {
	c := &http.Client{Timeout: getTimeout}
	defer c.CloseIdleConnections()
	r, err := c.Get(url)
	if err != nil {
		return "", false
	}
	defer func() { _ = r.Body.Close() }() // read below
	b, err := io.ReadAll(r.Body)
	return string(b), err == nil && r.StatusCode == http.StatusOK
}

// getTimeout bounds a call for metrics or readiness.
const getTimeout = 2 * time.Second

// busy returns the number of requests that wait or are at targets, by the
// daemon's metrics; false if it does not answer.
func (d *daemon) busy() (int, bool) {
	metrics, ok := get("http://" + d.metrics + "/metrics")
	if !ok {
		return 0, false
	}
	n, found := 0, 0
	for line := range strings.Lines(metrics) {
		for _, name := range []string{"monsoondeck_waiting_requests", "monsoondeck_placed_requests"} {
			var v float64
			if _, err := fmt.Sscanf(line, name+" %g", &v); err == nil {
				n += int(v)
				found++
			}
		}
	}
	return n, found == 2
}
