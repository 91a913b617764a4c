// Package stater sets the state of targets, for "target drain" and "target undrain".
package stater

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"monsoondeck.example/configurer"
	"monsoondeck.example/operator/failure"
	"monsoondeck.example/operator/printer"
	"monsoondeck.example/operator/session"
)

// Options are the arguments that both commands share.
type Options struct {
	IDs []string `arg:"positional,required" placeholder:"TARGET" help:"targets"`
	Yes bool     `arg:"--yes" help:"do not ask for confirmation"`
	printer.Flags
}

// Set sets the state of all given targets in one change of the configuration.
func (o *Options) Set(ctx context.Context, s *session.Session, state configurer.State, action string) error {
	result := &printer.Records{Fields: []string{"id", "state", "version"}}
	if err := result.Check(o.Flags); err != nil {
		return err
	}
	store, config, err := s.SignIn(ctx, true, action)
	if err != nil {
		return err
	}
	d, err := stateDelta(config, o.IDs, state)
	if err != nil {
		return err
	}
	if idle := idlePools(config, d); len(idle) > 0 {
		s.Progress("this leaves no active target in pool %s; its requests will wait until their deadline", strings.Join(idle, ", "))
		if err := s.Confirm(ctx, "The pool will stop serving.", o.Yes); err != nil {
			return err
		}
	}
	if d.Rows() == 0 {
		s.Progress("the targets are already %s", state)
	} else if config, err = s.Commit(ctx, store, config, d, action+" "+strings.Join(o.IDs, " ")); err != nil {
		return err
	}
	for _, id := range o.IDs {
		result.Add(id, state, config.Version())
	}
	return s.Printer().Print(result, o.Flags)
}

// stateDelta returns the change that sets the state of targets; it omits those that
// already are in the state.
func stateDelta(config configurer.Config, ids []string, state configurer.State) (configurer.Delta, error) {
	d := configurer.Delta{Base: config.Version()}
	for _, id := range slices.Compact(slices.Sorted(slices.Values(ids))) {
		t, ok := config.Target(id)
		if !ok {
			return d, failure.Usage(fmt.Sprintf("there is no target %q, nothing was changed", id), "List targets with 'sheet show targets'.")
		}
		if t.State != state {
			d.PutTargets = append(d.PutTargets, t.WithState(state))
		}
	}
	return d, nil
}

// idlePools returns the pools without an active target after the change, among the
// pools of the changed targets.
func idlePools(config configurer.Config, d configurer.Delta) []string {
	changed := map[string]configurer.State{}
	for _, t := range d.PutTargets {
		changed[t.ID] = t.State
	}
	var idle []string
	for _, t := range d.PutTargets {
		for _, pool := range t.Pools {
			active := slices.ContainsFunc(config.Pool(pool), func(p configurer.Target) bool {
				if state, ok := changed[p.ID]; ok {
					return state == configurer.StateActive
				}
				return p.State == configurer.StateActive
			})
			if !active && !slices.Contains(idle, pool) {
				idle = append(idle, pool)
			}
		}
	}
	return idle
}
