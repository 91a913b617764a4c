package driver

import (
	"bytes"
	"io"
	"os"
	"os/exec"
	"strings"
	"syscall"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"monsoondeck.example/emulator"
	"monsoondeck.example/generator/launcher"
	"monsoondeck.example/reserver"
)

// ExtraDaemon is a daemon that joins a fleet with settings of its own. Its traffic
// bypasses the relays of the fleet, so cuts do not affect what it sends.
type ExtraDaemon struct {
	// Caller and Admin are the addresses it listens on.
	Caller, Admin string

	command *exec.Cmd
	log     bytes.Buffer
	done    chan struct{}
}

// StartExtraDaemon starts a daemon with additional settings, which override the
// fleet's. Heal kills it.
func (f *Fleet) StartExtraDaemon(id, dataCentre string, settings ...string) *ExtraDaemon {
	ginkgo.GinkgoHelper()
	seeds := []string{}
	for _, d := range f.Daemons {
		seeds = append(seeds, d.Advertise)
	}
	addresses, release, err := reserver.Addresses(3)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(release)
	x := &ExtraDaemon{Caller: addresses[0], Admin: addresses[1], done: make(chan struct{})}
	peer := addresses[2]
	x.command = exec.Command(f.Programs.Daemon)
	x.command.Env = append(append(os.Environ(),
		"MONSOOND_ID="+id, "MONSOOND_DATA_CENTRE="+dataCentre, "MONSOOND_FLEET_SECRET="+FleetSecret,
		"MONSOOND_CALLER_ADDRESS="+x.Caller, "MONSOOND_PEER_ADDRESS="+peer, "MONSOOND_ADMIN_ADDRESS="+x.Admin,
		"MONSOOND_TABLE_URL="+f.URL(emulator.KindTable, ""), "MONSOOND_OBJECTS_URL="+f.URL(emulator.KindObjects, ""),
		"MONSOOND_HOSTS_URL="+f.URL(emulator.KindHosts, ""), "MONSOOND_SEEDS="+strings.Join(seeds, ",")), settings...)
	x.command.Stderr = io.MultiWriter(ginkgo.GinkgoWriter, &x.log)
	x.command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	gomega.Expect(x.command.Start()).To(gomega.Succeed())
	go func() { defer close(x.done); _ = x.command.Wait() }()
	f.mu.Lock()
	f.extraDaemons = append(f.extraDaemons, x)
	f.mu.Unlock()
	gomega.Eventually(func() (bool, error) {
		s, err := launcher.ReadStatus(ginkgo.GinkgoTB().Context(), x.Admin)
		return s.Ready && len(s.Members) > len(f.Daemons), err
	}, Timeout, PollInterval).Should(gomega.BeTrue())
	return x
}

// Signal sends a signal to the daemon unless it has exited.
func (x *ExtraDaemon) Signal(s syscall.Signal) {
	select {
	case <-x.done:
	default:
		_ = x.command.Process.Signal(s) // the daemon may just have exited
	}
}

// Done returns a channel that is closed when the daemon has exited.
func (x *ExtraDaemon) Done() <-chan struct{} { return x.done }

// ExitCode returns the exit code of a daemon that has exited.
func (x *ExtraDaemon) ExitCode() int { return x.command.ProcessState.ExitCode() }

// Log returns the log of a daemon that has exited.
func (x *ExtraDaemon) Log() string { return x.log.String() }

func (f *Fleet) killExtraDaemons() {
	f.mu.Lock()
	extras := f.extraDaemons
	f.extraDaemons = nil
	f.mu.Unlock()
	for _, x := range extras {
		x.Signal(syscall.SIGKILL)
		<-x.done
	}
}
