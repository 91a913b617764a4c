// Package settings defines and validates the settings of a gateway.
package settings

import (
	"net/netip"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrInvalid reports settings with which a gateway cannot start. The message of an
// error that wraps it lists every invalid setting.
var ErrInvalid = errors.New("settings are invalid")

// Settings are the settings of one gateway.
type Settings struct {
	// Host is the name of this daemon, unique in the fleet.
	Host       string
	DataCentre string
	// Regions holds the region of each data centre; those without a known one are absent.
	Regions map[string]string
	// CallerAddress, HealthAddress and PeerAddress are the addresses of the listeners
	// for callers, for health checks and for peers, as IP:PORT. Without a PeerAddress
	// the daemon has no peers.
	CallerAddress, HealthAddress, PeerAddress string
	// MetricsAddress is the address of the listener for metrics, as IP:PORT; empty
	// disables it.
	MetricsAddress string
	// StoreAddress is the address of the platform's store, as IP:PORT.
	StoreAddress string
	// MemoryBytes and Descriptors are the limits of the process for memory and for
	// open file descriptors; 0 if unknown.
	MemoryBytes int64
	Descriptors int
	// Cores is the processor time that the process may use, in cores; 0 if unknown.
	Cores float64
	// StopTimeout is the time between the stop signal and the kill signal.
	StopTimeout time.Duration
	// DrainBound is the time after which a leaving target must not receive any more
	// requests.
	DrainBound time.Duration
	// ConfigBound is the time within which a changed configuration must be in force.
	ConfigBound time.Duration
	// EvacuationBound is the time within which the evacuation of a data centre must be in
	// force; 0 means that data centres are not evacuated.
	EvacuationBound time.Duration
	// RetryRatio, RetryWindow and RetrySlack limit the retries of a service over all
	// daemons: within the window, at most RetryRatio times its requests plus
	// RetrySlack.
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  float64
	// ShareWindow is the sliding window over which accounts are entitled to their fair
	// share.
	ShareWindow time.Duration
	// ColdBounded is set if the requests to cold targets are limited: in any second, a cold
	// target gets from all daemons at most ColdOvershoot times the rate of its service, plus
	// ColdTolerance.
	ColdBounded                  bool
	ColdOvershoot, ColdTolerance float64
}

// Defaults of settings that are zero or negative.
const (
	defaultStopTimeout = 10 * time.Second
	defaultDrainBound  = 2 * time.Second
	defaultConfigBound = 2 * time.Second
	defaultRetryWindow = 10 * time.Second
	defaultShareWindow = 4 * time.Second
)

// WithDefaults returns the settings with defaults for durations that are zero or
// negative.
func (s Settings) WithDefaults() Settings {
	setDefault := func(d *time.Duration, value time.Duration) {
		if *d <= 0 {
			*d = value
		}
	}
	setDefault(&s.StopTimeout, defaultStopTimeout)
	setDefault(&s.DrainBound, defaultDrainBound)
	setDefault(&s.ConfigBound, defaultConfigBound)
	setDefault(&s.RetryWindow, defaultRetryWindow)
	setDefault(&s.ShareWindow, defaultShareWindow)
	return s
}

// Validate returns an error that wraps ErrInvalid and lists every invalid setting,
// or nil.
func (s Settings) Validate() error {
	var problems []string
	if s.Host == "" {
		problems = append(problems, "the host name is missing")
	}
	addresses := []struct {
		name, value string
		optional    bool
	}{
		{"the caller address", s.CallerAddress, false}, {"the ready address", s.HealthAddress, false},
		{"the peer address", s.PeerAddress, true}, {"the metrics address", s.MetricsAddress, true},
		{"the store address", s.StoreAddress, false},
	}
	for _, a := range addresses {
		if a.value == "" && a.optional {
			continue
		}
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			problems = append(problems, a.name+" must have the form IP:PORT, not "+a.value)
		}
	}
	if s.RetryRatio < 0 || s.RetrySlack < 0 {
		problems = append(problems, "the retry ratio and the retry slack must not be negative")
	}
	if len(problems) > 0 {
		return errors.Wrap(ErrInvalid, strings.Join(problems, "; "))
	}
	return nil
}
