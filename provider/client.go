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
	// defaultTimeout bounds one call if Options sets no timeout.
	defaultTimeout = 5 * time.Second
	// maxResponseBytes bounds the body of a response; a snapshot of 19,000 accounts
	// is smaller than 10 MB.
	maxResponseBytes = 256 << 20
	// maxMessageBytes bounds how much of the body of an error response is copied into
	// the error.
	maxMessageBytes = 200
)

// Options configures a client of one platform service.
type Options struct {
	// URL is the base URL of the service, such as http://127.0.0.1:7001.
	URL string
	// Timeout bounds each call in addition to the caller's context; 0 means 5 s.
	Timeout time.Duration
	// Client sends the requests; nil means http.DefaultClient.
	Client *http.Client
}

// client sends HTTP requests and maps their failures to the errors of this package.
type client struct {
	baseURL string
	timeout time.Duration
	http    *http.Client
}

func newClient(o Options) client {
	c := client{baseURL: strings.TrimRight(o.URL, "/"), timeout: o.Timeout, http: o.Client}
	if c.timeout <= 0 {
		c.timeout = defaultTimeout
	}
	if c.http == nil {
		c.http = http.DefaultClient
	}
	return c
}

// call sends a request and returns the body of a 2xx response. A lost response is
// ErrUnavailable for GET, which has no effect, and ErrUnknown otherwise. If the
// body of a successful response to another method cannot be read, call returns no
// body and no error.
func (c client) call(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	// Without a connection, no byte of the request can have been sent.
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, c.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "create request"), ErrRejected)
	}
	lostResponseErr := ErrUnknown
	if method == http.MethodGet {
		lostResponseErr = ErrUnavailable
	}
	response, err := c.http.Do(request)
	if err != nil {
		if !connected.Load() {
			lostResponseErr = ErrUnavailable
		}
		return nil, errors.Mark(errors.Wrapf(err, "%s %s", method, path), lostResponseErr)
	}
	defer func() { _ = response.Body.Close() }()
	if err := statusError(response, lostResponseErr); err != nil {
		return nil, errors.Wrapf(err, "%s %s", method, path)
	}
	content, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err != nil || len(content) > maxResponseBytes {
		if method != http.MethodGet {
			return nil, nil // the status shows that the call took effect
		}
		return nil, errors.Mark(errors.Newf("%s %s: read %d bytes of the response: %v", method, path, len(content), err), lostResponseErr)
	}
	return content, nil
}

// statusError returns the error for the status of a response, or nil for 2xx. It
// returns lostResponseErr if the service may have executed the request.
func statusError(response *http.Response, lostResponseErr error) error {
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
	case code >= 300 && code < 500:
		kind = ErrRejected
	default:
		// A gateway may respond 500, 502 or 504 although the service executed the request. A
		// status out of range says nothing.
		kind = lostResponseErr
	}
	message, _ := io.ReadAll(io.LimitReader(response.Body, maxMessageBytes))
	return errors.Wrap(kind, strings.TrimSpace(fmt.Sprintf("status %d %s", code, message)))
}

// getJSON sends a GET request and decodes the JSON response into to.
func (c client) getJSON(ctx context.Context, path string, to any) error {
	body, err := c.call(ctx, http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, to); err != nil {
		return errors.Mark(errors.Wrapf(err, "decode response to GET %s", path), ErrUnavailable)
	}
	return nil
}
