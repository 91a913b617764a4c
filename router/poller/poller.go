// Package poller reads the platform for the daemons of one data centre: new
// configuration versions and the host list. Only the daemon that the locator
// names reads regularly; a daemon without any configuration reads as a last
// resort.
package poller

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"monsoondeck.example/configurer"
	"monsoondeck.example/logger"
	"monsoondeck.example/messenger"
	"monsoondeck.example/provider"
	"monsoondeck.example/provider/committer"
	"monsoondeck.example/router/controller"
)

// Source reads the configuration from the platform.
type Source interface {
	Load(ctx context.Context) (configurer.Config, error)
	Poll(ctx context.Context, after uint64) ([]configurer.Delta, error)
	// Maintain writes a snapshot and removes old changes where that is due.
	Maintain(ctx context.Context, config configurer.Config) error
}

// Hosts reads the host list.
type Hosts interface {
	Hosts(ctx context.Context) (provider.HostList, error)
}

// Control is the control state that the poller feeds.
type Control interface {
	Snapshot() *controller.Snapshot
	SetConfig(config configurer.Config)
	ApplyDeltas(deltas []configurer.Delta)
	SetHostMarks(marks []messenger.HostMark)
}

const (
	// period leaves two seconds of the three-second goal for distribution.
	period = time.Second
	// maintenancePeriod is far below the time in which 200 changes are made.
	maintenancePeriod = 10 * time.Minute
	// callTimeout keeps a slow platform from delaying the next poll for long.
	callTimeout = 3 * time.Second
	// bootstrapDelay and bootstrapSpread let peers answer first when a data
	// centre restarts, and spread the reads of those that got no answer.
	bootstrapDelay  = 500 * time.Millisecond
	bootstrapSpread = 2 * time.Second
)

// Poller reads the platform for one daemon.
type Poller struct {
	self   string
	source Source
	hosts  Hosts
	// maintained is when the stored changes were last compacted.
	maintained time.Time
	control    Control
	logger     *slog.Logger
	bootstrap  time.Time
	failing    bool
}

// New returns a Poller that reads the platform for a configuration after the
// bootstrap time, or earlier where the daemon polls for its data centre. hosts
// may be nil where no host list is configured.
func New(self string, source Source, hosts Hosts, control Control, l *slog.Logger, bootstrap time.Duration) *Poller {
	return &Poller{self: self, source: source, hosts: hosts, control: control, logger: l, bootstrap: time.Now().Add(bootstrap)}
}

// BootstrapDelay draws the time that a daemon without configuration leaves to
// its peers before it reads the platform.
func BootstrapDelay(random *rand.Rand) time.Duration {
	return bootstrapDelay + time.Duration(random.Int64N(int64(bootstrapSpread)))
}

// Run polls until the context ends.
func (p *Poller) Run(ctx context.Context) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		p.poll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (p *Poller) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	s := p.control.Snapshot()
	switch {
	case !s.Configured && (s.Poller == p.self || time.Now().After(p.bootstrap)):
		p.load(ctx)
	case s.Configured && s.Poller == p.self:
		p.pollChanges(ctx, s)
		p.pollHosts(ctx, s)
		p.maintain(ctx, s)
	}
}

// maintain repeats the upkeep of the stored configuration, in case the operator's
// command that was to do it had been interrupted.
func (p *Poller) maintain(ctx context.Context, s *controller.Snapshot) {
	if s.Maintainer != p.self || time.Since(p.maintained) < maintenancePeriod {
		return
	}
	p.maintained = time.Now()
	p.note(p.source.Maintain(ctx, s.Config))
}

func (p *Poller) load(ctx context.Context) {
	config, err := p.source.Load(ctx)
	p.note(err)
	if err == nil {
		p.control.SetConfig(config)
	}
}

func (p *Poller) pollChanges(ctx context.Context, s *controller.Snapshot) {
	deltas, err := p.source.Poll(ctx, s.Config.Version())
	if errors.Is(err, committer.ErrCompacted) {
		p.load(ctx)
		return
	}
	p.note(err)
	if len(deltas) > 0 {
		p.control.ApplyDeltas(deltas)
	}
}

// pollHosts turns the host list's marks into facts about configured targets.
func (p *Poller) pollHosts(ctx context.Context, s *controller.Snapshot) {
	if p.hosts == nil {
		return
	}
	list, err := p.hosts.Hosts(ctx)
	p.note(err)
	if err != nil {
		return
	}
	byAddress := map[string]provider.Host{}
	for _, h := range list.Hosts {
		byAddress[h.Address] = h
	}
	var marks []messenger.HostMark
	for t := range s.Config.Targets() {
		if h, ok := byAddress[t.Address]; ok {
			marks = append(marks, messenger.HostMark{
				Target: t.ID, Incarnation: h.Incarnation, Revision: list.Revision, Leaving: h.State == provider.HostLeaving,
			})
		}
	}
	p.control.SetHostMarks(marks)
}

// note logs the first failure and the first success after it.
func (p *Poller) note(err error) {
	if errors.Is(err, committer.ErrNoConfig) || errors.Is(err, committer.ErrStaleRead) {
		return // the platform has answered; an older answer is not used
	}
	if (err != nil) == p.failing {
		return
	}
	p.failing = err != nil
	if p.failing {
		logger.Emit(p.logger, logger.PlatformUnavailable, slog.String("error", err.Error()))
		return
	}
	logger.Emit(p.logger, logger.PlatformAvailable)
}
