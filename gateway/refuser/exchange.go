package refuser

import "time"

// action is what to do next with a refused connection.
type action int

const (
	// wait: read again when more has arrived.
	wait action = iota
	// answer: send the response and end the sending direction.
	answer
	// finish: close the connection.
	finish
)

const (
	// headTimeout limits the time until the header of the request has arrived, after which
	// the answer is sent without it. Callers abandon a request that is not read within a
	// second.
	headTimeout = time.Second
	// lingerTimeout limits the time between the response and the close. A connection
	// that is closed while data arrives is reset, and the response can get lost.
	lingerTimeout = time.Second
	// maxRequestBytes limits the bytes that are read from a connection.
	maxRequestBytes = 1 << 20
)

// headEnd ends the header of a request.
const headEnd = "\r\n\r\n"

// exchange is the state of one refused connection: it waits for the header of the
// request, answers, and waits until the caller has closed its side. A caller that sends no
// header gets the answer, too.
type exchange struct {
	// accepted is the time of the connection, answered that of the response; 0 before.
	accepted, answered time.Duration
	// matched is the number of bytes of headEnd that the last bytes match.
	matched int
	// read is the number of bytes read.
	read int
}

// headEnded reports whether the whole header has arrived.
func (e *exchange) headEnded() bool { return e.matched == len(headEnd) }

// receive takes what was read at a time and returns the next action. closed is set if
// the caller has closed its side or the connection is broken.
func (e *exchange) receive(now time.Duration, data []byte, closed bool) action {
	e.read += len(data)
	if e.answered == 0 {
		for _, b := range data {
			switch {
			case b == headEnd[e.matched]:
				e.matched++
			case b == headEnd[0]:
				e.matched = 1
			default:
				e.matched = 0
			}
			if e.matched == len(headEnd) {
				e.answered = now
				return answer
			}
		}
	}
	switch {
	case closed, e.read > maxRequestBytes:
		return finish
	case e.answered == 0 && now-e.accepted > headTimeout:
		e.answered = now
		return answer
	case e.answered > 0 && now-e.answered > lingerTimeout:
		return finish
	}
	return wait
}
