package demo

import (
	"bytes"
	"context"
	_ "embed" // embeds the configuration sheet
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"text/template"
	"time"

	"github.com/cockroachdb/errors"

	"monsoondeck.example/configurer"
	"monsoondeck.example/emulator"
	"monsoondeck.example/emulator/engine"
	"monsoondeck.example/generator/launcher"
	"monsoondeck.example/generator/loader"
	"monsoondeck.example/parser"
	"monsoondeck.example/provider"
	"monsoondeck.example/provider/committer"
	"monsoondeck.example/router"
	"monsoondeck.example/router/settings"
)

//go:embed sheet.csv
var sheet string

const (
	// pool is the pool of the engines, and the name of their model.
	pool        = "quote"
	fleetSecret = "a secret within one process"
	// startTimeout is long enough for a machine that is busy with other tests.
	startTimeout = 60 * time.Second
	pollInterval = 50 * time.Millisecond
)

// engines returns the settings of the engines, which differ in speed and slots.
func engines() []engine.Settings {
	return []engine.Settings{
		{ID: "engine-1", Model: pool, Slots: 8, TokensPerSecond: 120, QueueLimit: 4, CacheTokens: 8192},
		{ID: "engine-2", Model: pool, Slots: 6, TokensPerSecond: 80, QueueLimit: 4, CacheTokens: 8192},
		{ID: "engine-3", Model: pool, Slots: 4, TokensPerSecond: 50, QueueLimit: 4, CacheTokens: 8192},
		{ID: "engine-4", Model: pool, Slots: 4, TokensPerSecond: 30, QueueLimit: 4, CacheTokens: 8192},
	}
}

// fleet holds the routers and the emulated platform and targets, all of which run in
// this process.
type fleet struct {
	targets *emulator.Set
	config  configurer.Config
	routers []string // caller addresses
	admins  []string // admin addresses, in the order of routers
	centres []string // data centre of each router
}

func newFleet(ctx context.Context, log *slog.Logger) (*fleet, func(), error) {
	f := &fleet{centres: []string{"sapporo", "asahikawa", "sapporo"}}
	var cleanups []func()
	stop := func() {
		for i := len(cleanups) - 1; i >= 0; i-- {
			cleanups[i]()
		}
	}
	cleanups, err := f.start(ctx, log)
	if err != nil {
		stop()
		return nil, nil, err
	}
	return f, stop, nil
}

// start starts the emulated services, applies the sheet, starts the routers and
// waits until they are ready. It returns the cleanups of what it started, also on an
// error.
func (f *fleet) start(ctx context.Context, log *slog.Logger) (cleanups []func(), err error) {
	s := emulator.Settings{
		Table: &emulator.TableSettings{Listen: "127.0.0.1:0"}, Objects: &emulator.ObjectsSettings{Listen: "127.0.0.1:0"},
		Hosts: &emulator.HostsSettings{Listen: "127.0.0.1:0"},
	}
	for _, e := range engines() {
		s.Engines = append(s.Engines, emulator.EngineSettings{Listen: "127.0.0.1:0", Settings: e})
	}
	targets, stopTargets, err := emulator.New(s)
	if err != nil {
		return nil, err
	}
	f.targets = targets
	cleanups = append(cleanups, stopTargets)
	if err := f.applySheet(ctx); err != nil {
		return cleanups, err
	}
	var seed string
	for i, centre := range f.centres {
		peer, stop, err := f.startRouter(ctx, fmt.Sprintf("router-%d", i+1), centre, seed, log)
		if err != nil {
			return cleanups, err
		}
		cleanups = append(cleanups, stop)
		seed = peer
	}
	return cleanups, f.waitReady(ctx)
}

func (f *fleet) url(kind string) string { return "http://" + f.targets.Address(kind, "") }

// applySheet parses the sample sheet and commits it as the first configuration.
func (f *fleet) applySheet(ctx context.Context) error {
	t, err := template.New("sheet").Funcs(template.FuncMap{
		"address": func(id string) string { return f.targets.Address(emulator.KindEngine, id) },
		"keyHash": func(account string) string { return configurer.KeyHash(accountKey(account)) },
	}).Parse(sheet)
	if err != nil {
		return errors.Wrap(err, "parse the template of the sheet")
	}
	var text bytes.Buffer
	if err := t.Execute(&text, nil); err != nil {
		return errors.Wrap(err, "execute the template of the sheet")
	}
	parsed, err := parser.Parse(&text)
	if err != nil {
		return errors.Wrap(err, "parse the sheet")
	}
	delta, _ := parsed.Apply(configurer.Config{})
	delta.Author = "demo"
	commits := committer.New(committer.Options{
		Table:   provider.NewTable(provider.Options{URL: f.url(emulator.KindTable)}),
		Objects: provider.NewObjects(provider.Options{URL: f.url(emulator.KindObjects)}),
	})
	f.config, _, err = commits.Commit(ctx, configurer.Config{}, delta, "apply the sample sheet")
	return errors.Wrap(err, "commit the sheet")
}

func accountKey(account string) string { return "key-of-" + account }

// startRouter starts a router in this process and returns its peer address.
func (f *fleet) startRouter(ctx context.Context, id, centre, seed string, log *slog.Logger) (string, func(), error) {
	d, cleanup, err := router.New(settings.Settings{
		ID: id, DataCentre: centre, CallerAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0", AdminAddress: "127.0.0.1:0",
		Seeds: seed, TableURL: f.url(emulator.KindTable), ObjectsURL: f.url(emulator.KindObjects), HostsURL: f.url(emulator.KindHosts),
		FleetSecret: fleetSecret, Policy: "fleet", QueueLimit: 1000, QueueBytes: 16 << 20, MaxWait: time.Minute,
		StopTimeout: time.Minute, FirstToken: 1500 * time.Millisecond, TokenInterval: 78 * time.Millisecond, LogFormat: "text",
	}, log.With("daemon", id))
	if err != nil {
		return "", nil, errors.Wrap(err, id)
	}
	ctx, cancel := context.WithCancel(ctx)
	var group sync.WaitGroup
	group.Go(func() { _ = d.Run(ctx, nil) }) // returns when the context is cancelled
	caller, peer, admin := d.Addresses()
	f.routers, f.admins = append(f.routers, caller), append(f.admins, admin)
	return peer, func() { cancel(); group.Wait(); cleanup() }, nil
}

// waitReady waits until every router has the configuration and knows the others.
func (f *fleet) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, admin := range f.admins {
		for {
			s, err := launcher.ReadStatus(ctx, admin)
			if err == nil && s.Ready && len(s.Members) >= len(f.admins) {
				break
			}
			select {
			case <-ctx.Done():
				return errors.Newf("a router did not become ready: it knows the members [%s]: %v", strings.Join(s.Members, " "), err)
			case <-time.After(pollInterval):
			}
		}
	}
	return nil
}

// accounts returns the load of the accounts. Together they want more service than
// there is, and one of them floods a single router.
func (f *fleet) accounts() []loader.Account {
	quote := loader.Kind{Name: "quote", Pool: pool, Frequency: 1, Stream: true, MeanTokens: 60, MaxTokens: 300, PrefixWords: 64, PromptWords: 20}
	tag := loader.Kind{Name: "tagging", Pool: pool, Frequency: 1, MeanTokens: 8, MaxTokens: 40, PrefixWords: 64, PromptWords: 20}
	var out []loader.Account
	for _, a := range []loader.Account{
		{ID: "showroom", Routers: f.routers[:2], Kinds: []loader.Kind{quote}, Workers: 40},
		{ID: "dealers", Routers: f.routers[1:], Kinds: []loader.Kind{quote, tag}, Workers: 30},
		{ID: "catalogue", Routers: f.routers[:1], Kinds: []loader.Kind{tag}, Workers: 200},
	} {
		row, _ := f.config.Account(a.ID)
		a.Key, a.Share, a.Latency = accountKey(a.ID), row.Share, true
		out = append(out, a)
	}
	return out
}
