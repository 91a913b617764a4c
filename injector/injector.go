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
	// ErrFault reports a fault with an unknown kind or direction, or a negative delay or
	// count.
	ErrFault = errors.New("fault is invalid")

	// ErrLink reports a link without a name or address, or with a name that is invalid
	// or in use.
	ErrLink = errors.New("link is invalid")

	// ErrNoLink reports a link that does not exist.
	ErrNoLink = errors.New("link does not exist")
)

// Kind is the kind of a fault.
type Kind string

// The kinds of faults.
const (
	// KindNone forwards everything, including the bytes that an earlier fault held back.
	KindNone Kind = "none"
	// KindDelay delivers bytes DelayMs after they arrived.
	KindDelay Kind = "delay"
	// KindCut resets the connections, and new ones as soon as they are accepted, as if
	// the process behind the link had ended.
	KindCut Kind = "cut"
	// KindCutOneWay holds the bytes of one direction back, as if its packets were
	// lost.
	KindCutOneWay Kind = "cutOneWay"
	// KindFreeze holds the bytes of both directions back and keeps connections open.
	KindFreeze Kind = "freeze"
	// KindHalfClose ends one direction of each connection, at once on connections
	// that carried bytes that way, and after the first bytes on the others.
	KindHalfClose Kind = "halfClose"
	// KindLoseAnswer drops the first response bytes after the fault was set and resets
	// the connection: the request has run, but its caller gets no response.
	KindLoseAnswer Kind = "loseAnswer"
)

// Direction is one direction of a link, or both.
type Direction string

// The directions. Forward is from the process that connects to the one that
// accepts.
const (
	Both     Direction = ""
	Forward  Direction = "forward"
	Backward Direction = "backward"
)

// Fault is the fault that a link injects.
type Fault struct {
	Kind Kind `json:"kind"`
	// Direction is the direction that delay, cutOneWay and halfClose affect; if empty,
	// delay affects both, the others Forward.
	Direction Direction `json:"direction,omitempty"`
	DelayMs   int       `json:"delayMs,omitempty"`
	// Count is the number of connections that cut, halfClose and loseAnswer affect
	// before the fault returns to none; 0 means no limit.
	Count int `json:"count,omitempty"`
}

// normalize validates f and sets the direction that its kind implies. The error
// matches ErrFault.
func (f Fault) normalize() (Fault, error) {
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

// holds reports whether the fault holds back the bytes of the direction.
func (f Fault) holds(d Direction) bool {
	return (f.Kind == KindFreeze || f.Kind == KindCutOneWay) && f.covers(d)
}

// delay returns how long the fault delays bytes of the direction.
func (f Fault) delay(d Direction) time.Duration {
	if f.Kind != KindDelay || !f.covers(d) {
		return 0
	}
	return time.Duration(f.DelayMs) * time.Millisecond
}

// Proxy is a set of links by name. It is safe for concurrent use.
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
// port of the listen address may be 0. The error matches ErrLink if the name or an
// address is empty, or the name contains a slash or is in use.
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
	link := newLink(name, forward, l)
	p.links[name] = link
	return link, nil
}

// Link returns the link with the name. The error matches ErrNoLink if there is none.
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

// Remove closes the link with the name and its connections. The error matches
// ErrNoLink if there is none.
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
