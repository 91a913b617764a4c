package committer

import (
	"context"

	"github.com/cockroachdb/errors"

	"monsoondeck.example/configurer"
	"monsoondeck.example/provider"
)

// Load returns the current configuration: the newest readable snapshot with the
// changes after it. If that does not lead to the current version, Load tries older
// snapshots. Errors: ErrNoConfig, provider.ErrUnavailable, ErrDamaged.
func (c *Committer) Load(ctx context.Context) (configurer.Config, error) {
	h, _, err := c.readHead(ctx)
	if err != nil {
		return configurer.Config{}, err
	}
	versions, err := c.snapshotVersions(ctx)
	if h.Version == 0 && len(versions) == 0 && err == nil {
		return configurer.Config{}, c.checkEmpty(ctx)
	}
	if err != nil {
		c.o.Warn(err)
	}
	loadErr, unavailable := err, err != nil
	// Version 0 needs no snapshot: all change rows may still exist.
	for _, v := range append(versions, 0) {
		config, err := c.loadFrom(ctx, v, h.Version)
		if err == nil {
			return config, nil
		}
		c.o.Warn(err)
		loadErr = errors.CombineErrors(loadErr, err)
		unavailable = unavailable || errors.Is(err, provider.ErrUnavailable)
	}
	if unavailable {
		return configurer.Config{}, errors.Mark(errors.Wrap(loadErr, "load configuration"), provider.ErrUnavailable)
	}
	return configurer.Config{}, errors.Mark(errors.Wrapf(loadErr, "load configuration version %d", h.Version), ErrDamaged)
}

// checkEmpty returns ErrNoConfig if no change rows exist, and ErrDamaged if some
// do, because the head is missing then.
func (c *Committer) checkEmpty(ctx context.Context) error {
	rows, err := c.o.Table.List(ctx, changePrefix, "", 1)
	switch {
	case err != nil:
		return errors.Wrap(err, "list changes")
	case len(rows) > 0:
		return errors.Wrap(ErrDamaged, "change rows exist, but the head is missing")
	}
	return ErrNoConfig
}

// loadFrom applies the changes after a snapshot, or after the empty configuration
// for version 0. It fails if they do not lead to at least the version head.
func (c *Committer) loadFrom(ctx context.Context, snapshot, head uint64) (configurer.Config, error) {
	var config configurer.Config
	var err error
	if snapshot > 0 {
		if config, err = c.readSnapshot(ctx, snapshot); err != nil {
			return config, err
		}
	}
	deltas, err := c.changesAfter(ctx, config.Version(), 0)
	if err != nil {
		return config, err
	}
	for _, d := range deltas {
		if config, err = config.WithDelta(d); err != nil {
			return config, errors.Mark(errors.Wrapf(err, "apply change %d", d.Version), ErrDamaged)
		}
	}
	if config.Version() < head {
		return config, errors.Wrapf(ErrDamaged, "snapshot %d and the changes after it lead to version %d, want %d", snapshot, config.Version(), head)
	}
	return config, nil
}
