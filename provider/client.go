package provider

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// defaultTimeout bounds one call when Options has no timeout.
	defaultTimeout = 5 * time.Second
	// maxAnswerBytes bounds an answer; a snapshot of 19,000 accounts is below 10 MB.
	maxAnswerBytes = 256 << 20
	// maxMessageBytes bounds how much of an error answer goes into the error.
	maxMessageBytes = 200
)

// Options configures one client.
type Options struct {
	// URL is the base address of the service, such as http://127.0.0.1:7001.
	URL string
	// Timeout bounds each call in addition to the caller's context; 0 is 5 s.
	Timeout time.Duration
	// Client sends the requests; nil is http.DefaultClient.
	Client *http.Client
}

// client makes calls and maps results to the errors of this package.
type client struct {
	base    string
	timeout time.Duration
	http    *http.Client
}

func newClient(o Options) client {
	c := client{base: strings.TrimRight(o.URL, "/"), timeout: o.Timeout, http: o.Client}
	if c.timeout <= 0 {
		c.timeout = defaultTimeout
	}
	if c.http == nil {
		c.http = http.DefaultClient
	}
	return c
}

// call sends a request and returns the body of a 2xx answer. A lost answer is
// ErrUnavailable for GET, which has no effect, and ErrUnknown otherwise.
func (c client) call(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	// Without a connection no byte of the request can have been sent.
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "make request"), ErrRefused)
	}
	lost := ErrUnknown
	if method == http.MethodGet {
		lost = ErrUnavailable
	}
	response, err := c.http.Do(request)
	if err != nil {
		if !connected.Load() {
			lost = ErrUnavailable
		}
		return nil, errors.Mark(errors.Wrapf(err, "%s %s", method, path), lost)
	}
	defer func() { _ = response.Body.Close() }()
	if err := statusError(response, lost); err != nil {
		return nil, errors.Wrapf(err, "%s %s", method, path)
	}
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil || len(answer) > maxAnswerBytes {
		if method != http.MethodGet {
			return nil, nil // the status already says that the call took effect
		}
		return nil, errors.Mark(errors.Newf("%s %s: read %d bytes of the answer: %v", method, path, len(answer), err), lost)
	}
	return answer, nil
}

func statusError(response *http.Response, lost error) error {
	code := response.StatusCode
	var kind error
	switch {
	case code >= 200 && code < 300:
		return nil
	case code == http.StatusConflict:
		kind = ErrConflict
	case code == http.StatusNotFound:
		kind = ErrNotFound
	case code == http.StatusServiceUnavailable, code == http.StatusTooManyRequests:
		kind = ErrUnavailable
	case code < 500:
		kind = ErrRefused
	default:
		kind = lost // a gateway may answer 500, 502 or 504 after the service acted
	}
	message, _ := io.ReadAll(io.LimitReader(response.Body, maxMessageBytes))
	return errors.Wrap(kind, strings.TrimSpace(fmt.Sprintf("status %d %s", code, message)))
}

func (c client) getJSON(ctx context.Context, path string, to any) error {
	body, err := c.call(ctx, http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, to); err != nil {
		return errors.Mark(errors.Wrapf(err, "decode the answer to GET %s", path), ErrUnavailable)
	}
	return nil
}
