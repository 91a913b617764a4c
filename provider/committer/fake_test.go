package committer_test

import (
	"context"
	"flag"
	"maps"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"

	"monsoondeck.example/provider"
)

// TestMain fixes the seed so that every run gives the same result; -rapid.seed
// overrides it.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true", "rapid.shrinktime": "1s"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// fault is a fault injected into one transaction.
type fault int

const (
	faultNone         fault = iota
	faultUnavailable        // no effect, result is ErrUnavailable
	faultLostRequest        // no effect, result is ErrUnknown
	faultLostResponse       // takes effect, result is ErrUnknown
	faultDelayed            // takes effect before a later transaction, result is ErrUnknown
	faultReplayed           // takes effect, then the transport resends it and the result is ErrConflict
	faultCount
)

// memory is an in-memory table service and object store.
type memory struct {
	mu       sync.Mutex
	rows     map[string]provider.Row
	objects  map[string][]byte
	revision uint64
	faults   []fault           // faults of the next transactions, in order
	delayed  []func()          // transactions that have not taken effect yet
	reads    map[string]error  // errors of reads by key
	before   func()            // called once, before the next transaction
	down     bool              // the object store is down
	hold     bool              // delayed transactions do not take effect yet
	distort  func(error) error // replaces the result of a transaction
}

func newMemory() *memory {
	return &memory{rows: map[string]provider.Row{}, objects: map[string][]byte{}, reads: map[string]error{},
		distort: func(err error) error { return err }}
}

func (m *memory) Read(_ context.Context, key string) (provider.Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.reads[key]; err != nil {
		return provider.Row{}, err
	}
	row, ok := m.rows[key]
	if !ok {
		return row, provider.ErrNotFound
	}
	return row, nil
}

func (m *memory) List(_ context.Context, prefix, after string, limit int) ([]provider.Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var rows []provider.Row
	for _, key := range slices.Sorted(maps.Keys(m.rows)) {
		if strings.HasPrefix(key, prefix) && key > after && len(rows) < limit {
			rows = append(rows, m.rows[key])
		}
	}
	return rows, nil
}

func (m *memory) Transact(_ context.Context, conditions []provider.Condition, puts []provider.Row, deletes []string) error {
	if before := m.before; before != nil {
		m.before = nil
		before()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.applyDelayed()
	f := faultNone
	if len(m.faults) > 0 {
		f, m.faults = m.faults[0], m.faults[1:]
	}
	var err error
	switch f {
	case faultUnavailable:
		err = provider.ErrUnavailable
	case faultLostRequest:
		err = provider.ErrUnknown
	case faultLostResponse:
		_ = m.apply(conditions, puts, deletes)
		err = provider.ErrUnknown
	case faultDelayed:
		m.delayed = append(m.delayed, func() { _ = m.apply(conditions, puts, deletes) })
		err = provider.ErrUnknown
	case faultReplayed:
		_ = m.apply(conditions, puts, deletes)
		err = m.apply(conditions, puts, deletes)
	default:
		err = m.apply(conditions, puts, deletes)
	}
	return m.distort(err)
}

// applyDelayed lets delayed transactions take effect, unless hold is set.
func (m *memory) applyDelayed() {
	if m.hold {
		return
	}
	for _, apply := range m.delayed {
		apply()
	}
	m.delayed = nil
}

func (m *memory) apply(conditions []provider.Condition, puts []provider.Row, deletes []string) error {
	for _, c := range conditions {
		if m.rows[c.Key].Revision != c.Revision {
			return provider.ErrConflict
		}
	}
	m.revision++
	for _, p := range puts {
		p.Revision = m.revision
		m.rows[p.Key] = p
	}
	for _, key := range deletes {
		delete(m.rows, key)
	}
	return nil
}

// store is the object store of memory. It is a type of its own because both
// interfaces have a method List.
type store struct{ *memory }

func (s store) Put(_ context.Context, key string, body []byte) error {
	if s.down {
		return provider.ErrUnavailable
	}
	s.objects[key] = slices.Clone(body)
	return nil
}

func (s store) Get(_ context.Context, key string) ([]byte, error) {
	body, ok := s.objects[key]
	if s.down {
		return nil, provider.ErrUnavailable
	}
	if !ok {
		return nil, provider.ErrNotFound
	}
	return body, nil
}

func (s store) Delete(_ context.Context, key string) error {
	delete(s.objects, key)
	return nil
}

func (s store) List(_ context.Context, prefix string) ([]string, error) {
	if s.down {
		return nil, provider.ErrUnavailable
	}
	return slices.DeleteFunc(slices.Sorted(maps.Keys(s.objects)), func(k string) bool { return !strings.HasPrefix(k, prefix) }), nil
}
