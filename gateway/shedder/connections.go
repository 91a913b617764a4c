package shedder

import "time"

const (
	// callerDescriptorShare is the part of the file descriptors that connections of
	// callers may use.
	callerDescriptorShare = 0.45
	// refusedDescriptorShare is the part that refused connections may use until their
	// callers have closed them. Connections to targets use the rest.
	refusedDescriptorShare = 0.1
	// heldDescriptorShare is the part for connections that a host without processor time has
	// neither served nor refused yet.
	heldDescriptorShare = 0.05
	// reservedDescriptors is the number of descriptors for files, peers, the store, health
	// checks and metrics.
	reservedDescriptors = 320
	// minTargetConnections is the smallest number of requests in progress on a host with
	// few descriptors.
	minTargetConnections = 32
	// defaultRefusedConnections is the number of refused connections if the limit of
	// descriptors is unknown.
	defaultRefusedConnections = 512

	// minIdleTime is the shortest idle time after which a connection is closed to make
	// room. Callers that send one request after another keep their connections.
	minIdleTime = 100 * time.Millisecond
	// maxClosingShare is the part of the limit up to which connections that are about to
	// close may exceed it.
	maxClosingShare = 1.0 / 16
	// balancerDelay is the time from the moment at which a host is unready until it gets
	// no new connections: the balancer probes once a second and removes a host after two
	// misses. The host must have room for the connections of that time.
	balancerDelay = 3 * time.Second
	// minRoomShare and maxRoomShare bound the room, as a part of the limit, below which a
	// host is unready, whatever the rate of its new connections.
	minRoomShare, maxRoomShare = 0.05, 0.25
	// readyRoomFactor is the multiple of that room from which the host is ready again. The
	// gap keeps it from going in and out with each connection.
	readyRoomFactor = 2
	// arrivalTimeConstant is the time over which the rate of new connections is averaged.
	arrivalTimeConstant = 2 * time.Second
)

// Budget is the division of the file descriptors of a process.
type Budget struct {
	// Callers, Refused and Held bound the connections of callers that are served, that are
	// refused, and that are held; Targets bounds the requests in progress, each of which
	// needs a connection to a target. 0 means no limit, for Held that none is held.
	Callers, Refused, Held, Targets int
}

// Divide returns the division of a number of file descriptors; 0 means unknown.
func Divide(descriptors int) Budget {
	if descriptors <= 0 {
		return Budget{Refused: defaultRefusedConnections}
	}
	b := Budget{
		Callers: max(int(callerDescriptorShare*float64(descriptors)), 1),
		Refused: max(int(refusedDescriptorShare*float64(descriptors)), 1),
		Held:    int(heldDescriptorShare * float64(descriptors)),
	}
	b.Targets = max(descriptors-b.Callers-maxClosing(b.Callers)-b.Refused-b.Held-reservedDescriptors, minTargetConnections)
	return b
}

// Occupancy is the number of connections of callers.
type Occupancy struct {
	// Open is the number of all open connections, Idle that of the connections without a
	// request, and Closing that of the connections that were idle and are about to close.
	// A connection is not both idle and closing.
	Open, Idle, Closing int
	// LongestIdle is the idle time of the connection that has been idle for longest.
	LongestIdle time.Duration
}

// Admission says what to do with a new connection.
type Admission int

// Admissions.
const (
	// Keep serves the connection.
	Keep Admission = iota
	// Replace serves the connection and closes the one that has been idle for longest.
	Replace
	// Refuse answers the request on the connection with a refusal.
	Refuse
)

// ConnectionLimit decides which new connections of callers a host keeps, and whether it
// has room for those that arrive until the balancer has taken it out. It is not safe for
// concurrent use.
type ConnectionLimit struct {
	// limit is the largest number of connections; 0 means no limit.
	limit int
	// arrivals counts the new connections.
	arrivals decayingCount
	// unready is set while the host asks for no new connections, since unreadySince, and
	// until its room reaches readyRoom.
	unready      bool
	unreadySince time.Duration
	readyRoom    int
}

// NewConnectionLimit returns a ConnectionLimit for at most limit connections; 0 means no
// limit.
func NewConnectionLimit(limit int) *ConnectionLimit { return &ConnectionLimit{limit: limit} }

// Admit decides about a new connection, which Open does not include.
func (l *ConnectionLimit) Admit(now time.Duration, o Occupancy) Admission {
	l.arrivals.add(now)
	l.update(now, o)
	switch {
	case l.limit <= 0 || o.Open-o.Closing < l.limit:
		return Keep
	case o.Idle > 0 && o.LongestIdle >= minIdleTime && o.Closing < maxClosing(l.limit):
		return Replace
	}
	return Refuse
}

// Ready reports whether the balancer should send new connections to this host.
func (l *ConnectionLimit) Ready(now time.Duration, o Occupancy) bool {
	l.update(now, o)
	return !l.unready
}

// update sets unready from the room that is left.
func (l *ConnectionLimit) update(now time.Duration, o Occupancy) {
	if l.limit <= 0 {
		return
	}
	room := l.limit - (o.Open - o.Closing - o.Idle)
	least := l.leastRoom(now)
	switch {
	case room < least:
		if !l.unready {
			l.unready, l.unreadySince = true, now
		}
		l.readyRoom = max(l.readyRoom, readyRoomFactor*least)
	case l.unready && room >= l.readyRoom && now-l.unreadySince >= minUnreadyTime:
		l.unready, l.readyRoom = false, 0
	}
}

// leastRoom returns the room below which the host is unready.
func (l *ConnectionLimit) leastRoom(now time.Duration) int {
	arriving := l.arrivals.perSecond(now) * balancerDelay.Seconds()
	bounded := min(max(arriving, minRoomShare*float64(l.limit)), maxRoomShare*float64(l.limit))
	return max(int(bounded), 1)
}

// maxClosing returns the number of connections beyond a limit that may be about to close.
func maxClosing(limit int) int { return max(int(maxClosingShare*float64(limit)), 1) }
