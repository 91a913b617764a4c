package connector

import "time"

// Timing holds the durations of a Hub. Zero selects the default, which follows the
// semicolon.
type Timing struct {
	// Batch is the longest time that a frame is filled before it is sent; 2 ms.
	Batch time.Duration
	// MaxAge is the age at which a frame that could not be sent is dropped; 1 s.
	// The receiver uses a grant for 2 s and the owner of the shard frees its slot
	// after 3 s, so a grant may be in transit for at most 1 s.
	MaxAge time.Duration
	// Handshake limits the time to connect and authenticate; 3 s.
	Handshake time.Duration
	// PingAfter is how long a frame may stay without any frame in return before the
	// connection is checked with a ping; 1 s.
	PingAfter time.Duration
	// PingTimeout limits the wait for the answer to a ping, and the time to write a
	// frame; 2 s.
	PingTimeout time.Duration
	// MinBackoff and MaxBackoff bound the wait between attempts to connect, which
	// doubles with each failure; 50 ms and 2 s. MaxBackoff is shorter than the time
	// for which a member is suspected, so that a peer that returns is reached before it
	// is removed.
	MinBackoff, MaxBackoff time.Duration
	// Drain limits how long the closing hub waits for the frames queued for connected
	// peers; 200 ms.
	Drain time.Duration
	// Idle is the time without a frame in either direction after which a peer is
	// disconnected and forgotten; 10 min. At 320 members a pair exchanges probes
	// every 160 s on average.
	Idle time.Duration
}

func (t Timing) withDefaults() Timing {
	set := func(d *time.Duration, v time.Duration) {
		if *d <= 0 {
			*d = v
		}
	}
	set(&t.Batch, 2*time.Millisecond)
	set(&t.MaxAge, time.Second)
	set(&t.Handshake, 3*time.Second)
	set(&t.PingAfter, time.Second)
	set(&t.PingTimeout, 2*time.Second)
	set(&t.MinBackoff, 50*time.Millisecond)
	set(&t.MaxBackoff, 2*time.Second)
	set(&t.Drain, 200*time.Millisecond)
	set(&t.Idle, 10*time.Minute)
	return t
}
