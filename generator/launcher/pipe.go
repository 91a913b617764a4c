package launcher

import (
	"net"
	"sync"
	"time"
)

const (
	chunkBytes = 16 << 10
	// queuedChunks bounds the data in transit; more is left to TCP.
	queuedChunks = 64
)

// pipe relays one connection.
type pipe struct {
	network  *network
	from, to place
	delay    time.Duration
	once     sync.Once
	done     chan struct{} // closed when one end has failed
}

type chunk struct {
	data []byte
	due  time.Time
}

// copy relays one direction until its end. The end of a stream is passed on as a
// half close; an error ends both directions.
func (p *pipe) copy(dst, src net.Conn, from, to place) {
	queue := make(chan chunk, queuedChunks)
	go func() {
		defer close(queue)
		for {
			b := make([]byte, chunkBytes)
			n, err := src.Read(b)
			if n > 0 {
				select {
				case queue <- chunk{b[:n], time.Now().Add(p.delay)}:
				case <-p.done:
					return
				}
			}
			if err != nil {
				return
			}
		}
	}()
	for c := range queue {
		if d := time.Until(c.due); d > 0 {
			time.Sleep(d)
		}
		if !p.await(from, to) {
			return
		}
		if _, err := dst.Write(c.data); err != nil {
			p.abort(dst, src)
			return
		}
	}
	if !p.await(from, to) {
		return
	}
	_ = dst.(*net.TCPConn).CloseWrite() // the other end may have gone
}

// await waits until data may pass and reports false when the pipe has failed.
func (p *pipe) await(from, to place) bool {
	for {
		blocked, changed := p.network.blocked(from, to)
		if !blocked {
			return true
		}
		select {
		case <-changed:
		case <-p.done:
			return false
		}
	}
}

func (p *pipe) abort(ends ...net.Conn) {
	p.once.Do(func() { close(p.done) })
	for _, c := range ends {
		_ = c.Close()
	}
}
