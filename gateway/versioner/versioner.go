// Package versioner remembers which software version of a service began each stream, so
// that a stream goes on at that version only. Daemons tell each other of the streams that
// they have begun while a service has several versions; while it has one, the version of
// every stream is certain. The package does no I/O; callers pass the time.
package versioner

import (
	"iter"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxStreamAge is longer than callers wait for a stream. A version that has not been in
	// service for this long has no stream that can go on.
	MaxStreamAge = 2 * time.Minute
	// maxStreams limits the streams that are remembered, and thereby the memory: some 100
	// bytes each.
	maxStreams = 1 << 17
	// maxVersions limits the versions that are remembered, which come from the registry.
	maxVersions = 1 << 10
	// repeatTime is how long after its last record a stream is reported again, for daemons that
	// an earlier report has not reached.
	repeatTime = 5 * time.Second
	// minAge is the age of a version that has just left, since an age of 0 says that it is in
	// service. Ages are exchanged in milliseconds.
	minAge = time.Millisecond
	// leftStep is the step to which the remaining time of streams is rounded up in batches.
	leftStep = time.Second
)

// Stream identifies a stream by the attempt of its caller that brought the first event.
type Stream uint64

// StreamOf returns the Stream of an attempt. The account is a part of it, since callers
// choose the IDs of their attempts.
func StreamOf(account, attempt string) Stream {
	h := xxhash.New()
	_, _ = h.WriteString(account) // a hash does not fail
	_, _ = h.WriteString("\x00")
	_, _ = h.WriteString(attempt)
	return Stream(h.Sum64())
}

// Origin is the service and the software version that began a stream.
type Origin struct{ Service, Version string }

// Batch holds streams with the same origin and the same remaining time.
type Batch struct {
	Origin
	// Left is the time for which the streams are to be remembered.
	Left    time.Duration
	Streams []Stream
}

// Sighting says when a version was last in service.
type Sighting struct {
	Origin
	// Age is the time since then; 0 if it is in service.
	Age time.Duration
}

// History is what is known about the versions in service.
type History struct {
	// Age is the time for which the history is complete.
	Age       time.Duration
	Sightings []Sighting
}

// Aged returns the history as it is known after a time in which no version came or left.
func (h History) Aged(by time.Duration) History {
	if h.Age <= 0 {
		return h
	}
	sightings := slices.Clone(h.Sightings)
	for i := range sightings {
		if sightings[i].Age > 0 {
			sightings[i].Age += by
		}
	}
	return History{Age: h.Age + by, Sightings: sightings}
}

// Versioner holds the streams and versions that one daemon knows. It is not safe for
// concurrent use.
type Versioner struct {
	streams map[Stream]record
	// unreported holds the streams of this daemon that it has not told the others yet.
	unreported []Stream
	// lastSeen holds the time at which each version was last in service.
	lastSeen map[Origin]time.Duration
	// present holds the versions that are in service.
	present map[Origin]bool
	// completeSince is the time since which all versions in service are known; math.MaxInt64
	// if there is none.
	completeSince time.Duration
	// observed is set once the registry has been read, confirmed the latest time at which its
	// known state was the newest, and maxAge the age of that state above which another version
	// may be in service; 0 sets no limit.
	observed  bool
	confirmed time.Duration
	maxAge    time.Duration
	// read is the time at which the last read of the registry by this daemon was sent.
	read time.Duration
	// uncertain holds the services whose versions were not certain in the last call of update.
	uncertain map[string]bool
}

// record is what is known about one stream.
type record struct {
	origin Origin
	// recorded is the time at which this daemon last began or continued the stream or was told
	// of it.
	recorded, expires time.Duration
	// own is set if this daemon has begun the stream or continued it.
	own bool
}

// New returns a Versioner that knows nothing of the time before the registry is first
// observed. maxAge is the age of the state of the registry up to which its versions are taken
// for the only ones; 0 sets no limit.
func New(maxAge time.Duration) *Versioner {
	return &Versioner{maxAge: maxAge, streams: map[Stream]record{}, lastSeen: map[Origin]time.Duration{}, present: map[Origin]bool{}, completeSince: math.MaxInt64}
}

// Observe records the versions that are in service. It reports whether they have changed.
func (v *Versioner) Observe(now time.Duration, inService []Origin) bool {
	v.observed, v.completeSince = true, min(v.completeSince, now)
	next := map[Origin]bool{}
	for _, o := range inService {
		next[o] = true
	}
	changed := !maps.Equal(v.present, next)
	for o := range v.present {
		v.lastSeen[o] = now
	}
	for o := range next {
		v.lastSeen[o] = now
	}
	v.present = next
	v.forgetVersions(now)
	v.update(now)
	return changed
}

// Confirm records the latest time at which the observed state of the registry was the newest.
// It is to be called regularly, since versions become uncertain with time.
func (v *Versioner) Confirm(now, at time.Duration) {
	v.confirmed = at
	v.update(now)
}

// ConfirmRead records that a read of the registry by this daemon, which was sent at the given
// time, found the observed state to be the newest.
func (v *Versioner) ConfirmRead(sent time.Duration) { v.read = max(v.read, sent) }

// LearnHistory records what others know of the versions in service.
func (v *Versioner) LearnHistory(now time.Duration, h History) {
	if h.Age <= 0 && len(h.Sightings) == 0 {
		return // most reports have none
	}
	if h.Age > 0 {
		v.completeSince = min(v.completeSince, now-h.Age)
	}
	for _, s := range h.Sightings {
		if at := now - s.Age; s.Age < MaxStreamAge && (len(v.lastSeen) < maxVersions) {
			if old, ok := v.lastSeen[s.Origin]; !ok || old < at {
				v.lastSeen[s.Origin] = at
			}
		}
	}
	v.update(now)
}

// History returns what this daemon knows of the versions in service. Its age is not positive
// if that is nothing.
func (v *Versioner) History(now time.Duration) History {
	h := History{Age: now - v.completeSince}
	for o, at := range v.lastSeen {
		s := Sighting{Origin: o}
		if !v.present[o] {
			s.Age = max(now-at, minAge)
		}
		if s.Age < MaxStreamAge {
			h.Sightings = append(h.Sightings, s)
		}
	}
	return h
}

// Uncertain reports whether streams of the service that are not remembered may have begun at
// more than one version.
func (v *Versioner) Uncertain(now time.Duration, service string) bool {
	_, certain := v.onlyVersion(now, service)
	return !certain
}

// onlyVersion returns the only version at which a stream of the service can have begun;
// false if there may be several.
func (v *Versioner) onlyVersion(now time.Duration, service string) (string, bool) {
	if !v.observed || now-v.completeSince < MaxStreamAge || v.maxAge > 0 && now-v.confirmed > v.maxAge {
		return "", false
	}
	version, versions := "", 0
	for o, at := range v.lastSeen {
		if o.Service == service && (v.present[o] || now-at < MaxStreamAge) {
			version = o.Version
			versions++
		}
	}
	return version, versions == 1
}

// Find returns the origin of a stream of the service that its caller took up at the given
// time; false if it is neither remembered nor certain. A remembered stream may be of another
// service. remembered is false if the origin only follows from the versions in service. That
// takes a read of the registry that was sent after the stream was taken up: whatever began it
// had read the entry of its target before, while a state that was the newest some time earlier
// may lack it.
func (v *Versioner) Find(now time.Duration, service string, s Stream, takenUp time.Duration) (o Origin, remembered, ok bool) {
	if r, found := v.streams[s]; found && now < r.expires {
		return r.origin, true, true
	}
	version, certain := v.onlyVersion(now, service)
	return Origin{service, version}, false, certain && (v.maxAge <= 0 || v.read >= takenUp)
}

// Began records a stream that this daemon has begun or continued, and which is to be
// remembered for a time.
func (v *Versioner) Began(now time.Duration, s Stream, o Origin, left time.Duration) {
	if !v.add(now, s, record{origin: o, recorded: now, expires: now + min(left, MaxStreamAge), own: true}) {
		return
	}
	if v.Uncertain(now, o.Service) {
		v.unreported = append(v.unreported, s)
	}
}

// Learn records streams that other daemons have begun.
func (v *Versioner) Learn(now time.Duration, batches []Batch) {
	for _, b := range batches {
		for _, s := range b.Streams {
			v.add(now, s, record{origin: b.Origin, recorded: now, expires: now + min(b.Left, MaxStreamAge)})
		}
	}
}

// add remembers a stream and reports whether there was room. The first origin of a stream
// stays.
func (v *Versioner) add(now time.Duration, s Stream, r record) bool {
	old, known := v.streams[s]
	if known && now < old.expires {
		if old.origin != r.origin {
			return false
		}
		r.expires = max(r.expires, old.expires)
		if old.own && !r.own {
			r.own, r.recorded = true, old.recorded
		}
	}
	if !known && len(v.streams) >= maxStreams {
		return false
	}
	v.streams[s] = r
	return true
}

// TakeNews returns the streams of this daemon that the others should know and that were not
// returned before.
func (v *Versioner) TakeNews(now time.Duration) []Batch {
	news := v.unreported
	v.unreported = nil
	return v.batches(now, slices.Values(news))
}

// RepeatNews returns the streams of this daemon that it has told the others recently.
func (v *Versioner) RepeatNews(now time.Duration) []Batch {
	uncertain := v.uncertainServices(now)
	return v.batches(now, func(yield func(Stream) bool) {
		for s, r := range v.streams {
			if r.own && uncertain[r.origin.Service] && now-r.recorded < repeatTime && !yield(s) {
				return
			}
		}
	})
}

// Uncertainties returns all streams that are remembered of the services whose versions are
// not certain.
func (v *Versioner) Uncertainties(now time.Duration) []Batch {
	uncertain := v.uncertainServices(now)
	return v.batches(now, func(yield func(Stream) bool) {
		for s, r := range v.streams {
			if uncertain[r.origin.Service] && !yield(s) {
				return
			}
		}
	})
}

// batches groups the streams that have not expired.
func (v *Versioner) batches(now time.Duration, streams iter.Seq[Stream]) []Batch {
	groups := map[group][]Stream{}
	for s := range streams {
		if r := v.streams[s]; now < r.expires {
			g := group{r.origin, (r.expires - now + leftStep - 1) / leftStep * leftStep}
			groups[g] = append(groups[g], s)
		}
	}
	return collect(groups)
}

// group is what the streams of a batch have in common.
type group struct {
	Origin
	left time.Duration
}

func collect(groups map[group][]Stream) []Batch {
	var batches []Batch
	for g, streams := range groups {
		batches = append(batches, Batch{Origin: g.Origin, Left: g.left, Streams: streams})
	}
	return batches
}

// Merge joins batches with the same origin and the same remaining time.
func Merge(batches []Batch) []Batch {
	groups := map[group][]Stream{}
	for _, b := range batches {
		g := group{b.Origin, b.Left}
		groups[g] = append(groups[g], b.Streams...)
	}
	return collect(groups)
}

// Expire forgets the streams whose time has passed.
func (v *Versioner) Expire(now time.Duration) {
	for s, r := range v.streams {
		if now >= r.expires {
			delete(v.streams, s)
		}
	}
}

// Len returns the number of streams that are remembered.
func (v *Versioner) Len() int { return len(v.streams) }

// uncertainServices returns the services that had targets and whose versions are not
// certain.
func (v *Versioner) uncertainServices(now time.Duration) map[string]bool {
	uncertain := map[string]bool{}
	for o := range v.lastSeen {
		if !uncertain[o.Service] && v.Uncertain(now, o.Service) {
			uncertain[o.Service] = true
		}
	}
	return uncertain
}

// update tells the others of all streams of this daemon whose services have become uncertain
// since its last call.
func (v *Versioner) update(now time.Duration) {
	uncertain := v.uncertainServices(now)
	added := maps.Clone(uncertain)
	maps.DeleteFunc(added, func(service string, _ bool) bool { return v.uncertain[service] })
	v.uncertain = uncertain
	if len(added) == 0 {
		return
	}
	for s, r := range v.streams {
		if r.own && added[r.origin.Service] {
			r.recorded = now
			v.streams[s] = r
			v.unreported = append(v.unreported, s)
		}
	}
}

// forgetVersions forgets the versions that have not been in service for MaxStreamAge.
func (v *Versioner) forgetVersions(now time.Duration) {
	for o, at := range v.lastSeen {
		if !v.present[o] && now-at >= MaxStreamAge {
			delete(v.lastSeen, o)
		}
	}
}
