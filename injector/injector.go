// Package injector is a TCP proxy that injects faults into the links between
// processes under test.
package injector

import (
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

var (
	// ErrFault reports a fault that has an unknown kind or direction, or a negative
	// number.
	ErrFault = errors.New("fault is invalid")

	// ErrLink reports a link without name or address, or whose name is taken.
	ErrLink = errors.New("link is invalid")

	// ErrNoLink reports a link that does not exist.
	ErrNoLink = errors.New("link does not exist")
)

// Kind names what happens on a link.
type Kind string

// The kinds of faults.
const (
	// KindNone forwards everything. What an earlier fault held back is delivered.
	KindNone Kind = "none"
	// KindDelay delivers bytes DelayMs after they arrived.
	KindDelay Kind = "delay"
	// KindCut resets the connections, and new ones as soon as they are accepted, as
	// if the process had ended.
	KindCut Kind = "cut"
	// KindCutOneWay holds the bytes of one direction back, as if its packets were
	// lost.
	KindCutOneWay Kind = "cutOneWay"
	// KindFreeze holds the bytes of both directions back and keeps connections open.
	KindFreeze Kind = "freeze"
	// KindHalfClose ends one direction of each connection, at once on connections
	// that carried bytes that way, and after the first bytes on others.
	KindHalfClose Kind = "halfClose"
	// KindLoseAnswer drops the first bytes that come back after the fault was set and
	// resets the connection, so that the request has run and its caller does not
	// know.
	KindLoseAnswer Kind = "loseAnswer"
)

// Direction names one direction of a link, or both.
type Direction string

// The directions. Forward is from the process that connects to the one that
// accepts.
const (
	Both     Direction = ""
	Forward  Direction = "forward"
	Backward Direction = "backward"
)

// Fault is the state of a link.
type Fault struct {
	Kind Kind `json:"kind"`
	// Direction limits a delay; for cutOneWay and halfClose, empty is Forward.
	Direction Direction `json:"direction,omitempty"`
	DelayMs   int       `json:"delayMs,omitempty"`
	// Count is the number of connections that cut, halfClose and loseAnswer affect
	// before the link returns to none; 0 is no limit.
	Count int `json:"count,omitempty"`
}

// normal returns f with the direction that it applies to. The error matches
// ErrFault.
func (f Fault) normal() (Fault, error) {
	kinds := []Kind{KindNone, KindDelay, KindCut, KindCutOneWay, KindFreeze, KindHalfClose, KindLoseAnswer}
	if !slices.Contains(kinds, f.Kind) {
		return f, errors.Wrapf(ErrFault, "kind %q", f.Kind)
	}
	if !slices.Contains([]Direction{Both, Forward, Backward}, f.Direction) {
		return f, errors.Wrapf(ErrFault, "direction %q", f.Direction)
	}
	if f.DelayMs < 0 || f.Count < 0 {
		return f, errors.Wrap(ErrFault, "delayMs and count must not be negative")
	}
	switch f.Kind {
	case KindCutOneWay, KindHalfClose:
		if f.Direction == Both {
			f.Direction = Forward
		}
	case KindLoseAnswer:
		f.Direction = Backward
	case KindFreeze, KindCut, KindNone:
		f.Direction = Both
	}
	return f, nil
}

func (f Fault) covers(d Direction) bool { return f.Direction == Both || f.Direction == d }

// holds reports whether bytes of the direction wait.
func (f Fault) holds(d Direction) bool {
	return (f.Kind == KindFreeze || f.Kind == KindCutOneWay) && f.covers(d)
}

// delay returns how long bytes of the direction wait.
func (f Fault) delay(d Direction) time.Duration {
	if f.Kind != KindDelay || !f.covers(d) {
		return 0
	}
	return time.Duration(f.DelayMs) * time.Millisecond
}

// Proxy holds links by name. It is safe for concurrent use.
type Proxy struct {
	mutex sync.Mutex
	links map[string]*Link
}

// New returns a Proxy without links, and a function that closes them.
func New() (*Proxy, func()) {
	p := &Proxy{links: make(map[string]*Link)}
	return p, p.close
}

// Add starts a link that forwards connections from one address to another. The
// port of the listen address may be 0. The error matches ErrLink if the name or
// an address is empty or the name is taken.
func (p *Proxy) Add(name, listen, forward string) (*Link, error) {
	if name == "" || strings.Contains(name, "/") || listen == "" || forward == "" {
		return nil, errors.Wrap(ErrLink, "name, listen and forward are needed; a name has no slash")
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.links[name] != nil {
		return nil, errors.Wrapf(ErrLink, "name %q is taken", name)
	}
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, errors.Wrap(err, "listen for a link")
	}
	k := newLink(name, forward, l)
	p.links[name] = k
	return k, nil
}

// Link returns a link. The error matches ErrNoLink.
func (p *Proxy) Link(name string) (*Link, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if l := p.links[name]; l != nil {
		return l, nil
	}
	return nil, errors.Wrapf(ErrNoLink, "%q", name)
}

// Links returns all links sorted by name.
func (p *Proxy) Links() []*Link {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var list []*Link
	for _, l := range p.links {
		list = append(list, l)
	}
	slices.SortFunc(list, func(a, b *Link) int { return strings.Compare(a.name, b.name) })
	return list
}

// Remove closes a link and its connections. The error matches ErrNoLink.
func (p *Proxy) Remove(name string) error {
	l, err := p.Link(name)
	if err != nil {
		return err
	}
	p.mutex.Lock()
	delete(p.links, name)
	p.mutex.Unlock()
	l.close()
	return nil
}

func (p *Proxy) close() {
	for _, l := range p.Links() {
		l.close()
	}
}
