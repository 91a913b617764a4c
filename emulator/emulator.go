// Package emulator serves emulators of the platform's services and of targets, which
// are engines and plain services, in one process.
package emulator

import (
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"monsoondeck.example/emulator/engine"
	"monsoondeck.example/emulator/hosts"
	"monsoondeck.example/emulator/objects"
	"monsoondeck.example/emulator/oracle"
	"monsoondeck.example/emulator/service"
	"monsoondeck.example/emulator/table"
	"monsoondeck.example/emulator/weights"
)

// Errors returned by New.
var (
	// ErrListen marks the error of an address at which an emulator cannot listen.
	ErrListen = errors.New("cannot listen")
)

// Kinds of emulators.
const (
	KindEngine  = "engine"
	KindService = "service"
	KindTable   = "table"
	KindObjects = "objects"
	KindHosts   = "hosts"
	KindOracle  = "oracle"
	KindWeights = "weights"
)

// ListenAddress is the TCP address, as host:port, at which an emulator listens. Port 0
// selects a free port.
type ListenAddress string

// Settings configures a Set. Emulators with absent settings are not served.
type Settings struct {
	Engines  []EngineSettings
	Services []ServiceSettings
	Table    *TableSettings
	Objects  *ObjectsSettings
	Hosts    *HostsSettings
	// Weights configures the store from which all engines of the set load models, but
	// those that have a store of their own.
	Weights *WeightsSettings
	// Oracle is the address of the execution record, which is always kept and is served
	// if the address is not empty.
	Oracle ListenAddress
}

// EngineSettings adds an address to the settings of an engine.
type EngineSettings struct {
	Listen ListenAddress
	engine.Settings
}

// ServiceSettings adds an address to the settings of a plain service.
type ServiceSettings struct {
	Listen ListenAddress
	service.Settings
}

// TableSettings adds an address to the settings of a table service.
type TableSettings struct {
	Listen ListenAddress
	table.Settings
}

// ObjectsSettings adds an address to the settings of an object store.
type ObjectsSettings struct {
	Listen ListenAddress
	objects.Settings
}

// HostsSettings adds an address to the settings of a host list.
type HostsSettings struct {
	Listen ListenAddress
	hosts.Settings
}

// WeightsSettings adds an address to the settings of a weight store.
type WeightsSettings struct {
	Listen ListenAddress
	weights.Settings
}

// Endpoint is the address of one served emulator. ID is empty for all kinds but engines
// and plain services.
type Endpoint struct {
	Kind    string `json:"kind"`
	ID      string `json:"id,omitempty"`
	Address string `json:"address"`
}

// Set is a set of served emulators. Those that were not configured are nil or absent;
// Engines and Services are maps by ID.
type Set struct {
	Oracle   *oracle.Oracle
	Engines  map[string]*engine.Engine
	Services map[string]*service.Service
	Table    *table.Table
	Objects  *objects.Store
	Hosts    *hosts.List
	Weights  *weights.Store

	endpoints []Endpoint
	cleanUps  []func()
}

// New starts a set of emulators. The clean-up function stops them.
func New(s Settings) (*Set, func(), error) {
	set := &Set{Oracle: oracle.New(), Engines: map[string]*engine.Engine{}, Services: map[string]*service.Service{}}
	if err := set.start(s); err != nil {
		set.close()
		return nil, nil, err
	}
	return set, set.close, nil
}

// Endpoints returns the endpoints of the served emulators in the order of their start.
func (s *Set) Endpoints() []Endpoint { return s.endpoints }

// Address returns the address of an emulator, or "" if it is not served. The ID is empty
// for all kinds but engines and plain services.
func (s *Set) Address(kind, id string) string {
	for _, e := range s.endpoints {
		if e.Kind == kind && e.ID == id {
			return e.Address
		}
	}
	return ""
}

// close runs the clean-up functions in reverse order.
func (s *Set) close() {
	for i := len(s.cleanUps) - 1; i >= 0; i-- {
		s.cleanUps[i]()
	}
}

// start starts the emulators of the targets, then those of the platform.
func (s *Set) start(settings Settings) error {
	if c := settings.Weights; c != nil {
		s.Weights = weights.New(c.Settings)
		if err := s.serve(KindWeights, "", c.Listen, s.Weights); err != nil {
			return err
		}
	}
	for _, c := range settings.Engines {
		if s.Weights != nil && c.Weights == nil {
			c.Weights = s.Weights
		}
		e, cleanUp, err := engine.New(c.Settings, s.Oracle)
		if err != nil {
			return err
		}
		s.cleanUps = append(s.cleanUps, cleanUp)
		s.Engines[c.ID] = e
		if err := s.serve(KindEngine, c.ID, c.Listen, e); err != nil {
			return err
		}
	}
	for _, c := range settings.Services {
		v, err := service.New(c.Settings, s.Oracle)
		if err != nil {
			return err
		}
		s.Services[c.ID] = v
		if err := s.serve(KindService, c.ID, c.Listen, v); err != nil {
			return err
		}
	}
	return s.startPlatformServices(settings)
}

// startPlatformServices starts the emulators of the platform's services and the
// server of the oracle.
func (s *Set) startPlatformServices(settings Settings) error {
	if c := settings.Table; c != nil {
		s.Table = table.New(c.Settings)
		if err := s.serve(KindTable, "", c.Listen, s.Table); err != nil {
			return err
		}
	}
	if c := settings.Objects; c != nil {
		s.Objects = objects.New(c.Settings)
		if err := s.serve(KindObjects, "", c.Listen, s.Objects); err != nil {
			return err
		}
	}
	if c := settings.Hosts; c != nil {
		s.Hosts = hosts.New(c.Settings)
		if err := s.serve(KindHosts, "", c.Listen, s.Hosts); err != nil {
			return err
		}
	}
	if settings.Oracle != "" {
		return s.serve(KindOracle, "", settings.Oracle, s.Oracle)
	}
	return nil
}

// serve serves an emulator with HTTP/1.1 and unencrypted HTTP/2 and adds its endpoint.
func (s *Set) serve(kind, id string, address ListenAddress, h http.Handler) error {
	l, err := net.Listen("tcp", string(address))
	if err != nil {
		return errors.Mark(errors.Wrapf(err, "start emulator %s %s", kind, id), ErrListen)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second, Protocols: new(http.Protocols)}
	server.Protocols.SetHTTP1(true)
	server.Protocols.SetUnencryptedHTTP2(true)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(l) // returns ErrServerClosed at clean-up
	}()
	s.cleanUps = append(s.cleanUps, func() {
		_ = server.Close() // closes the connections of open requests
		<-done
	})
	s.endpoints = append(s.endpoints, Endpoint{Kind: kind, ID: id, Address: l.Addr().String()})
	return nil
}
