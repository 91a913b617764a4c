// Package settings holds the settings of a gateway.
package settings

import (
	"net/netip"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrInvalid reports settings that a gateway cannot start with. Its message lists
// every fault.
var ErrInvalid = errors.New("settings are invalid")

// Settings are the settings of one gateway.
type Settings struct {
	// Host is the name of this daemon, unique in the fleet.
	Host       string
	DataCentre string
	// CallerAddress, ReadyAddress and PeerAddress are those of the listeners, IP:PORT.
	CallerAddress, ReadyAddress, PeerAddress string
	// MetricsAddress is that of the listener for metrics; empty serves none.
	MetricsAddress string
	// StoreAddress is IP:PORT of the platform's store.
	StoreAddress string
	// MemoryBytes and Descriptors are the limits of the process; 0 is unknown.
	MemoryBytes int64
	Descriptors int
	// StopWithin is the time from the stop signal to the kill signal.
	StopWithin time.Duration
	// DrainBound is the time within which a leaving target must get no more requests.
	DrainBound time.Duration
	// ConfigBound is the time within which a changed configuration must be in force.
	ConfigBound time.Duration
	// RetryRatio, RetryWindow and RetrySlack bound the requests that a service gets
	// again: ratio times its requests in the window, plus slack, over all daemons.
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  float64
	// ShareWindow is the window in which accounts are entitled to their share.
	ShareWindow time.Duration
}

// Defaults of settings that are not given.
const (
	defaultStopWithin  = 10 * time.Second
	defaultDrainBound  = 2 * time.Second
	defaultConfigBound = 2 * time.Second
	defaultRetryWindow = 10 * time.Second
	defaultShareWindow = 4 * time.Second
)

// WithDefaults fills settings that are not given.
func (s Settings) WithDefaults() Settings {
	set := func(d *time.Duration, value time.Duration) {
		if *d <= 0 {
			*d = value
		}
	}
	set(&s.StopWithin, defaultStopWithin)
	set(&s.DrainBound, defaultDrainBound)
	set(&s.ConfigBound, defaultConfigBound)
	set(&s.RetryWindow, defaultRetryWindow)
	set(&s.ShareWindow, defaultShareWindow)
	return s
}

// Validate returns an error that matches ErrInvalid and lists every fault.
func (s Settings) Validate() error {
	var faults []string
	if s.Host == "" {
		faults = append(faults, "the name of the host is missing")
	}
	addresses := []struct {
		name, value string
		optional    bool
	}{
		{"the caller address", s.CallerAddress, false}, {"the ready address", s.ReadyAddress, false},
		{"the peer address", s.PeerAddress, true}, {"the metrics address", s.MetricsAddress, true},
		{"the address of the store", s.StoreAddress, false},
	}
	for _, a := range addresses {
		if a.value == "" && a.optional {
			continue
		}
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			faults = append(faults, a.name+" must be IP:PORT, not "+a.value)
		}
	}
	if s.RetryRatio < 0 || s.RetrySlack < 0 {
		faults = append(faults, "the bounds of retries must not be negative")
	}
	if len(faults) > 0 {
		return errors.Wrap(ErrInvalid, strings.Join(faults, "; "))
	}
	return nil
}
