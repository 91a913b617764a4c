package harness

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"os"
	"strconv"
	"sync"
	"time"
)

// Record is the file record.txt of a case.
type Record struct {
	mutex sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	return &Record{file: f, start: time.Now()}, err
}

// Add writes a line with the time since the start.
func (r *Record) Add(format string, args ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Close closes the file.
func (r *Record) Close() { _ = r.file.Close() }

// Request is one client attempt.
type Request struct {
	ID, Host, Path, Key string
	Deadline            time.Duration
	Body                []byte
	// Chunked sends the body in chunks, without a length.
	Chunked bool
	Header  map[string]string
}

// Answer is what a client saw of a request.
type Answer struct {
	ID string
	// Status is 0 if the connection ended without an answer.
	Status int
	Header http.Header
	Body   string
	// Err is set if there is no complete answer.
	Err error
	// Kept is set if the request went over a connection that had been used before.
	Kept        bool
	Sent, Ended time.Time
}

// NewClient returns an HTTP client that keeps its connections open and repeats nothing.
func NewClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 64, IdleConnTimeout: 12 * time.Second}}
}

// Send sends a request to a daemon and reads the whole answer.
func Send(c *http.Client, address string, q Request) Answer {
	a := Answer{ID: q.ID, Sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), q.Deadline)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { a.Kept = i.Reused }})
	var body io.Reader = bytes.NewReader(q.Body)
	if q.Chunked {
		body = io.MultiReader(body) // hides the length
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+q.Path, body)
	if err != nil {
		panic(err)
	}
	r.GetBody = nil // the transport must not repeat the request
	r.Host = q.Host
	r.Header.Set("X-Attempt-Id", q.ID)
	r.Header.Set("X-Deadline-Ms", strconv.FormatInt(q.Deadline.Milliseconds(), 10))
	r.Header.Set("X-Api-Key", q.Key)
	for name, value := range q.Header {
		r.Header.Set(name, value)
	}
	response, err := c.Do(r)
	if err == nil {
		a.Status, a.Header = response.StatusCode, response.Header
		var data []byte
		data, err = io.ReadAll(response.Body)
		a.Body = string(data)
		_ = response.Body.Close()
	}
	a.Err, a.Ended = err, time.Now()
	return a
}
