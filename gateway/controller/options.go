package controller

import (
	"log/slog"
	"time"

	"monsoondeck.example/gateway/placer"
	"monsoondeck.example/gateway/queuer"
	"monsoondeck.example/gateway/registrar"
	"monsoondeck.example/gateway/resolver"
)

// Options are the dependencies of a Controller.
type Options struct {
	DataCentre string
	// Regions holds the region of each data centre; those without a known one are absent.
	Regions map[string]string
	Policy  placer.Policy
	// SplitPrompts sends long and short prompts to different engines in large services with
	// both, so that a long prefill delays few short prompts.
	SplitPrompts bool
	Queue        queuer.Settings
	// Cold limits the requests to cold targets. FleetKnown reports whether Peers returns all
	// daemons of the list in the store; nil means always.
	Cold       placer.ColdBounds
	FleetKnown func() bool
	// ShareWindow is the sliding window over which accounts are entitled to their fair
	// share.
	ShareWindow time.Duration
	// Host is the name of this daemon.
	Host string
	// Address is the peer address of this daemon.
	Address string
	// SendReport, SendRegistryChange and SendConfig send a report, a change of the
	// registry and a configuration to the named peers; the names are sorted. None blocks.
	SendReport         func(r Report, to []string)
	SendRegistryChange func(c RegistryChange, to []string)
	SendConfig         func(c resolver.Config, to []string)
	// Peers returns all other daemons. AddPeers adds daemons that a peer reported.
	Peers    func() []Daemon
	AddPeers func([]Daemon)
	// Probe starts a connection attempt to a target, whose result is passed to
	// ProbeFinished; it does not block.
	Probe func(registrar.Entry)
	// RefetchConfig reads the configuration from the store again, because a peer has a
	// newer one. RequestConfig requests a configuration newer than the given version
	// from the peer, because the store did not return it in time. Neither blocks.
	RefetchConfig func()
	// NoticeEra is called with the era of the store that a peer reports, if it is later than
	// the one known here. It does not block.
	NoticeEra     func(era uint64)
	RequestConfig func(peer string, after uint64)
	// ReportInterval returns the time between two reports to the given number of peers.
	ReportInterval func(recipients int) time.Duration
	// ServiceWanted reports whether Served is in use; nil means never.
	ServiceWanted func() bool
	// MaxRegistryAge is the age of the registry state above which requests wait for a
	// newer one; 0 means no limit.
	MaxRegistryAge time.Duration
	// MaxEvacuationAge is the age of the state of the evacuated data centres above which
	// requests wait for a newer one; 0 means that data centres are not evacuated.
	MaxEvacuationAge time.Duration
	// Clock returns the monotonic time since the start of the daemon. All times in this
	// package are of this clock.
	Clock  func() time.Duration
	Logger *slog.Logger
}
