// Package poller reads new configuration versions and the host list from the platform,
// the services that store them, for the daemons of one data centre. Only the daemon
// that the locator selects reads regularly. A daemon without configuration reads only
// if its peers have not supplied one in time.
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
	// Compact writes a snapshot and removes old changes if that is due.
	Compact(ctx context.Context, config configurer.Config) error
}

// Hosts reads the host list.
type Hosts interface {
	Hosts(ctx context.Context) (provider.HostList, error)
}

// Control is the control state that the poller updates.
type Control interface {
	Snapshot() *controller.Snapshot
	SetConfig(config configurer.Config)
	ApplyDeltas(deltas []configurer.Delta)
	SetHostMarks(marks []messenger.HostMark)
}

const (
	// pollInterval leaves two seconds to distribute a change, which must reach all
	// daemons within three seconds.
	pollInterval = time.Second
	// compactionInterval is far below the time in which 200 changes accumulate.
	compactionInterval = 10 * time.Minute
	// callTimeout limits how long a slow platform delays the next poll.
	callTimeout = 3 * time.Second
	// bootstrapDelay gives peers time to answer first when a data centre restarts.
	// bootstrapSpread is the random part that spreads the reads of the daemons that
	// got no answer.
	bootstrapDelay  = 500 * time.Millisecond
	bootstrapSpread = 2 * time.Second
)

// Poller reads the platform for one daemon.
type Poller struct {
	self   string
	source Source
	hosts  Hosts
	// lastCompaction is when this daemon last called Source.Compact.
	lastCompaction time.Time
	control        Control
	logger         *slog.Logger
	// bootstrapAt is when a daemon that has no configuration yet reads the platform.
	bootstrapAt time.Time
	// unavailable is true while calls to the platform fail.
	unavailable bool
}

// New returns a Poller. If the daemon still has no configuration after the bootstrap
// delay, the Poller loads one from the platform. hosts may be nil if no host list is
// configured.
func New(self string, source Source, hosts Hosts, control Control, l *slog.Logger, bootstrap time.Duration) *Poller {
	return &Poller{self: self, source: source, hosts: hosts, control: control, logger: l, bootstrapAt: time.Now().Add(bootstrap)}
}

// BootstrapDelay returns a random delay for which a daemon without configuration waits
// for its peers before it reads the platform.
func BootstrapDelay(random *rand.Rand) time.Duration {
	return bootstrapDelay + time.Duration(random.Int64N(int64(bootstrapSpread)))
}

// Run polls until the context ends.
func (p *Poller) Run(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
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
	case !s.Configured && time.Now().After(p.bootstrapAt):
		p.load(ctx)
	case s.Configured && s.Poller == p.self:
		p.pollChanges(ctx, s)
		p.pollHosts(ctx, s)
		p.compact(ctx, s)
	}
}

// compact calls Source.Compact periodically, in case the operator command that should
// have done it was interrupted.
func (p *Poller) compact(ctx context.Context, s *controller.Snapshot) {
	if s.Maintainer != p.self || time.Since(p.lastCompaction) < compactionInterval {
		return
	}
	p.lastCompaction = time.Now()
	p.logAvailability(p.source.Compact(ctx, s.Config))
}

// load replaces the configuration by the one stored on the platform.
func (p *Poller) load(ctx context.Context) {
	config, err := p.source.Load(ctx)
	p.logAvailability(err)
	if err == nil {
		p.control.SetConfig(config)
	}
}

// pollChanges applies the changes since the current version, or loads the complete
// configuration if these changes are no longer stored.
func (p *Poller) pollChanges(ctx context.Context, s *controller.Snapshot) {
	deltas, err := p.source.Poll(ctx, s.Config.Version())
	if errors.Is(err, committer.ErrCompacted) {
		p.load(ctx)
		return
	}
	p.logAvailability(err)
	if len(deltas) > 0 {
		p.control.ApplyDeltas(deltas)
	}
}

// pollHosts reads the host list and passes on the states of the configured targets.
func (p *Poller) pollHosts(ctx context.Context, s *controller.Snapshot) {
	if p.hosts == nil {
		return
	}
	list, err := p.hosts.Hosts(ctx)
	p.logAvailability(err)
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

// logAvailability logs the first failure of the platform and the first success after
// it.
func (p *Poller) logAvailability(err error) {
	if errors.Is(err, committer.ErrNoConfig) || errors.Is(err, committer.ErrStaleRead) {
		return // the platform has answered; a stale result is not used
	}
	if (err != nil) == p.unavailable {
		return
	}
	p.unavailable = err != nil
	if p.unavailable {
		logger.Emit(p.logger, logger.PlatformUnavailable, slog.String("error", err.Error()))
		return
	}
	logger.Emit(p.logger, logger.PlatformAvailable)
}
