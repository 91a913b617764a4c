package dispatcher

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// resumeBackoff is multiplied by the number of earlier resumes of the stream.
const resumeBackoff = 50 * time.Millisecond

// errNotResumed means that the engine did not continue the broken stream.
var errNotResumed = errors.New("engine did not resume the stream")

// resumable reports whether a stream that broke with err may be resumed after the given
// number of resumes.
func (a *attempt) resumable(err error, resumes int) bool {
	return a.request.Repeatable && a.started && resumes < a.dispatcher.options.Resumes && errors.Is(err, ErrIncompleteResponse)
}

// resume resumes a stream that broke with err, after the given number of resumes. It tries
// again while the engine is too busy or cannot be reached. It returns the new number of
// resumes, and err if the stream cannot be resumed.
func (a *attempt) resume(err error, resumes int) (*http.Response, int, error) {
	for a.resumable(err, resumes) {
		res, resumeErr := a.sendResume(resumes)
		resumes++
		if resumeErr == nil {
			return res, resumes, nil
		}
		err = errors.WithSecondaryError(err, resumeErr)
		if !errors.Is(resumeErr, ErrRefused) && !errors.Is(resumeErr, ErrIncompleteResponse) {
			break
		}
	}
	return nil, resumes, err
}

// sendResume asks the same engine for the rest of a broken stream.
func (a *attempt) sendResume(resumes int) (*http.Response, error) {
	time.Sleep(time.Duration(resumes) * resumeBackoff)
	res, err := a.send(http.Header{
		headerResumeRequest: {a.stream.request},
		headerResumeOffset:  {strconv.FormatInt(a.meter.tokens.Load(), 10)},
	})
	if err != nil {
		return nil, err
	}
	if refused(res) {
		return nil, a.closeBody(res, ErrRefused)
	}
	if res.StatusCode != http.StatusOK || !isEventStream(res.Header) {
		return nil, a.closeBody(res, errNotResumed)
	}
	a.stream.verifyNext = true
	a.dispatcher.stats.resumed.Add(1)
	return res, nil
}

// streamIdentity recognises the events of one completion by the id that they carry. An
// engine that ignores a request to resume begins a new completion with a new id; without
// the check, the caller would see the first tokens twice.
type streamIdentity struct {
	// request is the X-Request-Id of the request that began the stream.
	request string
	// completion is the id in the first event; valid only if identified.
	completion string
	identified bool
	// verifyNext is true until the first event of a resumed stream has been checked.
	verifyNext bool
}

// check inspects the data of an event. It returns errNotResumed if a resumed stream does
// not belong to the completion that broke.
func (s *streamIdentity) check(data []byte, done bool) error {
	if s.identified && !s.verifyNext || len(data) == 0 {
		return nil
	}
	var d struct {
		ID string `json:"id"`
	}
	if !done && json.Unmarshal(data, &d) != nil {
		d.ID = ""
	}
	if s.verifyNext && (d.ID == "" || d.ID != s.completion) {
		return errNotResumed
	}
	s.completion, s.identified, s.verifyNext = d.ID, true, false
	return nil
}
