package dispatcher

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// resumePause is multiplied by the number of earlier resumes of the stream.
const resumePause = 50 * time.Millisecond

// errNotResumed: the engine answered a resume with something else.
var errNotResumed = errors.New("engine did not resume the stream")

func (a *attempt) resumable(err error, resumes int) bool {
	return a.r.Repeatable && a.started && resumes < a.d.options.Resumes && errors.Is(err, ErrBroken)
}

// resume asks the same engine for the rest of a broken stream.
func (a *attempt) resume(resumes int) (*http.Response, error) {
	time.Sleep(time.Duration(resumes) * resumePause)
	res, err := a.send(http.Header{
		headerResumeRequest: {a.stream.request},
		headerResumeOffset:  {strconv.FormatInt(a.meter.tokens.Load(), 10)},
	})
	if err != nil {
		return nil, err
	}
	if res.StatusCode != http.StatusOK || !isEventStream(res.Header) {
		return nil, a.discard(res, errNotResumed)
	}
	a.stream.verify = true
	a.d.stats.resumed.Add(1)
	return res, nil
}

// streamIdentity recognises the events of one completion by the id that they
// carry. An engine that ignores a resume begins a new completion with a new
// id; without the check the caller would see the first tokens twice.
type streamIdentity struct {
	// request is the X-Request-Id of the exchange that began the stream.
	request string
	// completion is the id in the first event.
	completion string
	known      bool
	// verify is true until the first event of a resumed stream was checked.
	verify bool
}

// check takes the data of an event. It returns errNotResumed if a resumed
// stream is another one than that which broke.
func (s *streamIdentity) check(data []byte, done bool) error {
	if s.known && !s.verify || len(data) == 0 {
		return nil
	}
	var d struct {
		ID string `json:"id"`
	}
	if !done && json.Unmarshal(data, &d) != nil {
		d.ID = ""
	}
	if s.verify && (d.ID == "" || d.ID != s.completion) {
		return errNotResumed
	}
	s.completion, s.known, s.verify = d.ID, true, false
	return nil
}
