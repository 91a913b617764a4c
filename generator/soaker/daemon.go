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

// daemon is one daemon under test. It keeps its addresses across restarts of its
// process.
type daemon struct {
	name, dataCentre                                         string
	callerAddress, readyAddress, peerAddress, metricsAddress string
	settingsPath                                             string
	// storeLink is the link to the store that the settings name, spareStoreLink the
	// other one. peerLink is nil in fleets with more than maxDaemonsWithPeerLinks
	// daemons.
	storeLink, spareStoreLink, peerLink *injector.Link
	fleet                               *fleet
	// mutex guards the fields below it, storeLink and spareStoreLink.
	mutex   sync.Mutex
	process *launcher.Process
	// incarnation is the number of starts of the process.
	incarnation int
	// stopRequested is set once the current process was told to stop;
	// unexpectedExits counts the exits without such a request.
	stopRequested   bool
	unexpectedExits int
}

// contactSubject is the subject of the times at which the daemon may not hear from the
// others although its process has no fault.
func (d *daemon) contactSubject() string { return "contact of " + d.name }

// start writes the settings and starts the process unless it is running.
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
	_, port, err := net.SplitHostPort(d.metricsAddress)
	if err != nil {
		closeLog()
		return errors.Wrap(err, "parse the metrics address")
	}
	p, err := d.fleet.starter.Run(d.name, d.fleet.program, []string{"--metrics-port", port}, []string{wire.SettingsVariable + "=" + d.settingsPath}, log,
		func(line []byte) { _, _ = log.Write(append(line, '\n')) }) // a failed write to the log does not affect the run
	if err != nil {
		closeLog()
		return err
	}
	d.process, d.stopRequested = p, false
	d.incarnation++
	go func() {
		<-p.Done()
		closeLog()
		d.recordExit(p)
	}()
	return nil
}

// recordExit counts the exit of the current process if no stop was requested.
func (d *daemon) recordExit(p *launcher.Process) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.process == p && !d.stopRequested {
		d.unexpectedExits++
	}
}

// openLog opens the log file of the next incarnation. Without a directory for
// logs, the output is discarded.
func (d *daemon) openLog() (io.Writer, func(), error) {
	if d.fleet.options.Logs == "" {
		return io.Discard, func() {}, nil
	}
	name := filepath.Join(d.fleet.options.Logs, fmt.Sprintf("%s.%d.log", d.name, d.incarnation+1))
	file, err := os.Create(name)
	if err != nil {
		return nil, nil, errors.Wrap(err, "create the log file")
	}
	return file, func() { _ = file.Close() }, nil
}

// writeSettingsLocked replaces the settings file atomically. The mutex must be
// held.
func (d *daemon) writeSettingsLocked() error {
	var text strings.Builder
	for _, s := range [][2]string{
		{wire.SettingHost, d.name}, {wire.SettingDataCentre, d.dataCentre}, {wire.SettingCallers, d.callerAddress}, {wire.SettingReady, d.readyAddress},
		{wire.SettingPeers, d.peerAddress}, {wire.SettingStore, d.storeLink.Address()}, {wire.SettingMemory, "134"}, {wire.SettingDescriptors, "4100"},
		{wire.SettingStopWithin, fmt.Sprint(stopTimeout.Seconds())}, {wire.SettingDrainBound, fmt.Sprint(drainTimeout.Milliseconds())},
		{wire.SettingRetryRatio, "0.2"}, {wire.SettingRetryWindow, "10"}, {wire.SettingRetrySlack, "200"}, {wire.SettingShareWindow, "4"},
	} {
		text.WriteString(s[0] + "=" + s[1] + "\n")
	}
	next := d.settingsPath + ".next"
	if err := os.WriteFile(next, []byte(text.String()), 0o600); err != nil {
		return errors.Wrap(err, "write the settings file")
	}
	return errors.Wrap(os.Rename(next, d.settingsPath), "replace the settings file")
}

// switchStoreLink writes settings with the address of the other link to the store.
func (d *daemon) switchStoreLink() error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.storeLink, d.spareStoreLink = d.spareStoreLink, d.storeLink
	return d.writeSettingsLocked()
}

// currentStoreLink returns the link to the store that the settings name.
func (d *daemon) currentStoreLink() *injector.Link {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.storeLink
}

func (d *daemon) currentProcess() *launcher.Process {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.process
}

func (d *daemon) currentIncarnation() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.incarnation
}

// requestStop marks the exit of the current process as expected and returns the
// process, which the caller stops.
func (d *daemon) requestStop() *launcher.Process {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.stopRequested = true
	return d.process
}

func (d *daemon) kill() {
	if p := d.requestStop(); p != nil {
		p.Kill()
	}
}

// isReady reports whether the readiness endpoint responds with success.
func (d *daemon) isReady() bool {
	_, ok := get("http://" + d.readyAddress + "/readiness")
	return ok
}

// get returns the body of a response with status 200, and false if there is none.
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

// getTimeout is the time limit of a request for metrics or readiness.
const getTimeout = 2 * time.Second

// requestsInProgress returns the number of requests that wait or are at targets
// according to the daemon's metrics, and false if these cannot be read.
func (d *daemon) requestsInProgress() (int, bool) {
	metrics, ok := get("http://" + d.metricsAddress + "/metrics")
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
