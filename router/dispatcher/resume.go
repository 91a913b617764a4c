package dispatcher

import (
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
)

// errNotResumed: the engine answered a resume with something else.
var errNotResumed = errors.New("engine did not resume the stream")

func (a *attempt) resumable(err error, resumes int) bool {
	return a.r.Repeatable && a.started && resumes < a.d.options.Resumes && errors.Is(err, ErrBroken)
}

// resume asks the same engine for the rest of a broken stream. The engine must
// echo the offset; an engine that ignores the headers would begin anew and the
// caller would see the same tokens twice.
func (a *attempt) resume() (*http.Response, error) {
	offset := strconv.FormatInt(a.meter.tokens.Load(), 10)
	res, err := a.send(http.Header{
		headerResumeRequest: {a.meter.lastID},
		headerResumeOffset:  {offset},
	})
	if err != nil {
		return nil, err
	}
	if res.StatusCode != http.StatusOK || !isEventStream(res.Header) || res.Header.Get(headerResumeOffset) != offset {
		return nil, a.discard(res, errNotResumed)
	}
	return res, nil
}
