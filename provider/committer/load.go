package committer

import (
	"context"

	"github.com/cockroachdb/errors"

	"monsoondeck.example/configurer"
	"monsoondeck.example/provider"
)

// Load returns the current configuration: the newest readable snapshot with the
// changes after it, an older snapshot when that does not lead to the current
// version. Errors: ErrNoConfig, provider.ErrUnavailable, ErrDamaged.
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
	faults, unavailable := err, err != nil
	// Version 0 needs no snapshot: all change rows may still be there.
	for _, v := range append(versions, 0) {
		config, err := c.loadFrom(ctx, v, h.Version)
		if err == nil {
			return config, nil
		}
		c.o.Warn(err)
		faults = errors.CombineErrors(faults, err)
		unavailable = unavailable || errors.Is(err, provider.ErrUnavailable)
	}
	if unavailable {
		return configurer.Config{}, errors.Mark(errors.Wrap(faults, "load configuration"), provider.ErrUnavailable)
	}
	return configurer.Config{}, errors.Mark(errors.Wrapf(faults, "load version %d", h.Version), ErrDamaged)
}

// checkEmpty returns ErrNoConfig when there is no change row either.
func (c *Committer) checkEmpty(ctx context.Context) error {
	rows, err := c.o.Table.List(ctx, changePrefix, "", 1)
	switch {
	case err != nil:
		return errors.Wrap(err, "list changes")
	case len(rows) > 0:
		return errors.Wrap(ErrDamaged, "there are changes without a head")
	}
	return ErrNoConfig
}

// loadFrom starts at a snapshot, or at the empty configuration for version 0,
// and must reach at least the version of the head.
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
		return config, errors.Wrapf(ErrDamaged, "snapshot %d and its changes end at version %d of %d", snapshot, config.Version(), head)
	}
	return config, nil
}
