// Package emulator serves the stand-ins of the platform and of the targets in
// one process.
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

// Sentinel errors of New.
var (
	ErrListen = errors.New("cannot listen")
)

// Kinds of stand-ins.
const (
	KindEngine  = "engine"
	KindService = "service"
	KindTable   = "table"
	KindObjects = "objects"
	KindHosts   = "hosts"
	KindOracle  = "oracle"
	KindWeights = "weights"
)

// Listen is the address a stand-in listens at; port 0 chooses a free port.
type Listen string

// Settings of a set of stand-ins. An absent part is not served.
type Settings struct {
	Engines  []EngineSettings
	Services []ServiceSettings
	Table    *TableSettings
	Objects  *ObjectsSettings
	Hosts    *HostsSettings
	// Weights is the store that all engines of the set load models from.
	Weights *WeightsSettings
	// Oracle is always kept; it is served when an address is set.
	Oracle Listen
}

// EngineSettings add an address to the settings of an engine.
type EngineSettings struct {
	Listen Listen
	engine.Settings
}

// ServiceSettings add an address to the settings of a service.
type ServiceSettings struct {
	Listen Listen
	service.Settings
}

// TableSettings add an address to the settings of a table service.
type TableSettings struct {
	Listen Listen
	table.Settings
}

// ObjectsSettings add an address to the settings of an object store.
type ObjectsSettings struct {
	Listen Listen
	objects.Settings
}

// HostsSettings add an address to the settings of a host list.
type HostsSettings struct {
	Listen Listen
	hosts.Settings
}

// WeightsSettings add an address to the settings of a weight store.
type WeightsSettings struct {
	Listen Listen
	weights.Settings
}

// Endpoint is one served stand-in.
type Endpoint struct {
	Kind    string `json:"kind"`
	ID      string `json:"id,omitempty"`
	Address string `json:"address"`
}

// Set is a served set of stand-ins.
type Set struct {
	Oracle   *oracle.Oracle
	Engines  map[string]*engine.Engine
	Services map[string]*service.Service
	Table    *table.Table
	Objects  *objects.Store
	Hosts    *hosts.List
	Weights  *weights.Store

	endpoints []Endpoint
	cleanups  []func()
}

// New starts a set of stand-ins. The clean-up function stops them.
func New(s Settings) (*Set, func(), error) {
	set := &Set{Oracle: oracle.New(), Engines: map[string]*engine.Engine{}, Services: map[string]*service.Service{}}
	if err := set.start(s); err != nil {
		set.close()
		return nil, nil, err
	}
	return set, set.close, nil
}

// Endpoints returns the served stand-ins in the order of the settings.
func (s *Set) Endpoints() []Endpoint { return s.endpoints }

// Address returns the address of a stand-in, or "" when it is not served. The
// id is empty for all but engines and services.
func (s *Set) Address(kind, id string) string {
	for _, e := range s.endpoints {
		if e.Kind == kind && e.ID == id {
			return e.Address
		}
	}
	return ""
}

func (s *Set) close() {
	for i := len(s.cleanups) - 1; i >= 0; i-- {
		s.cleanups[i]()
	}
}

func (s *Set) start(settings Settings) error {
	if x := settings.Weights; x != nil {
		s.Weights = weights.New(x.Settings)
		if err := s.serve(KindWeights, "", x.Listen, s.Weights); err != nil {
			return err
		}
	}
	for _, x := range settings.Engines {
		if s.Weights != nil && x.Weights == nil {
			x.Weights = s.Weights
		}
		e, cleanup, err := engine.New(x.Settings, s.Oracle)
		if err != nil {
			return err
		}
		s.cleanups = append(s.cleanups, cleanup)
		s.Engines[x.ID] = e
		if err := s.serve(KindEngine, x.ID, x.Listen, e); err != nil {
			return err
		}
	}
	for _, x := range settings.Services {
		v, err := service.New(x.Settings, s.Oracle)
		if err != nil {
			return err
		}
		s.Services[x.ID] = v
		if err := s.serve(KindService, x.ID, x.Listen, v); err != nil {
			return err
		}
	}
	return s.startPlatform(settings)
}

func (s *Set) startPlatform(settings Settings) error {
	if x := settings.Table; x != nil {
		s.Table = table.New(x.Settings)
		if err := s.serve(KindTable, "", x.Listen, s.Table); err != nil {
			return err
		}
	}
	if x := settings.Objects; x != nil {
		s.Objects = objects.New(x.Settings)
		if err := s.serve(KindObjects, "", x.Listen, s.Objects); err != nil {
			return err
		}
	}
	if x := settings.Hosts; x != nil {
		s.Hosts = hosts.New(x.Settings)
		if err := s.serve(KindHosts, "", x.Listen, s.Hosts); err != nil {
			return err
		}
	}
	if settings.Oracle != "" {
		return s.serve(KindOracle, "", settings.Oracle, s.Oracle)
	}
	return nil
}

func (s *Set) serve(kind, id string, address Listen, h http.Handler) error {
	l, err := net.Listen("tcp", string(address))
	if err != nil {
		return errors.Mark(errors.Wrapf(err, "%s %s", kind, id), ErrListen)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second, Protocols: new(http.Protocols)}
	server.Protocols.SetHTTP1(true)
	server.Protocols.SetUnencryptedHTTP2(true)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(l) // ends with ErrServerClosed at clean-up
	}()
	s.cleanups = append(s.cleanups, func() {
		_ = server.Close() // open requests are cut on purpose
		<-done
	})
	s.endpoints = append(s.endpoints, Endpoint{Kind: kind, ID: id, Address: l.Addr().String()})
	return nil
}
