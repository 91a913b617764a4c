package connector

import "time"

// Timing holds the durations of a Hub. Zero selects the default.
type Timing struct {
	// Batch is the longest time that a frame is filled before it is sent; 2 ms.
	Batch time.Duration
	// MaxAge is the age at which a frame that could not be sent is dropped; 1 s.
	// Grants live for 2 s at the receiver and their owner frees the slot after
	// 3 s, so a grant may spend at most 1 s on the way.
	MaxAge time.Duration
	// Handshake limits the time to connect and authenticate; 3 s.
	Handshake time.Duration
	// Answer is how long a connection may stay silent after a frame was sent on it
	// before it is checked with a ping; 1 s.
	Answer time.Duration
	// Ping limits the wait for the answer to a ping, and the time to write; 2 s.
	Ping time.Duration
	// MinBackoff and MaxBackoff bound the wait between attempts to connect, which
	// doubles with each failure; 50 ms and 2 s. MaxBackoff is below the suspicion
	// time so that a peer that returns can be reached before it is removed.
	MinBackoff, MaxBackoff time.Duration
	// Drain limits the time that closing the hub waits for queued frames of connected
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
	set(&t.Answer, time.Second)
	set(&t.Ping, 2*time.Second)
	set(&t.MinBackoff, 50*time.Millisecond)
	set(&t.MaxBackoff, 2*time.Second)
	set(&t.Drain, 200*time.Millisecond)
	set(&t.Idle, 10*time.Minute)
	return t
}
