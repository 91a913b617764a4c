// Package fleetclient sends requests to the admin listeners of all daemons.
package fleetclient

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strings"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"monsoondeck.example/operator/failure"
	"monsoondeck.example/operator/session"
)

const (
	// maxParallelRequests bounds the number of concurrent requests.
	maxParallelRequests = 32
	// maxResponseBytes bounds the body of one response.
	maxResponseBytes = 16 << 20
)

// ErrNotFound means that the daemon responded and does not have the requested
// object.
var ErrNotFound = errors.New("daemon does not have the requested object")

// Response is the response of one daemon.
type Response[T any] struct {
	Address string
	Value   T
	// Err is nil, ErrNotFound, or the reason why there is no response.
	Err error
}

// Get sends a GET request to every daemon in the settings and returns the responses
// in the order of the settings. It escapes the segments of the path in place.
func Get[T any](ctx context.Context, s *session.Session, path ...string) ([]Response[T], error) {
	if len(s.Settings.Daemons) == 0 {
		return nil, failure.Usage("the addresses of the daemons are not set", "Set --daemons or MONSOONDECK_DAEMONS to the addresses of their admin listeners.")
	}
	for i := range path {
		path[i] = url.PathEscape(path[i])
	}
	responses := make([]Response[T], len(s.Settings.Daemons))
	client := s.Factory.HTTP()
	var group errgroup.Group
	group.SetLimit(maxParallelRequests)
	for i, address := range s.Settings.Daemons {
		group.Go(func() error {
			responses[i].Address = address
			responses[i].Err = get(ctx, s, client, "http://"+address+"/v1/"+strings.Join(path, "/"), &responses[i].Value)
			return nil
		})
	}
	return responses, group.Wait()
}

// get sends one request and decodes the JSON response into to.
func get(ctx context.Context, s *session.Session, client *http.Client, address string, to any) error {
	ctx, cancel := context.WithTimeout(ctx, s.Settings.Timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return errors.Wrap(err, "create request")
	}
	response, err := client.Do(request)
	if err != nil {
		return errors.Wrap(err, "no response")
	}
	defer func() { _ = response.Body.Close() }()
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return ErrNotFound
	default:
		return errors.Newf("status %d", response.StatusCode)
	}
	return errors.Wrap(json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(to), "decode response")
}

// Unreachable prints and returns the addresses of the daemons that did not respond;
// nil if all did.
func Unreachable[T any](s *session.Session, responses []Response[T]) []string {
	var list []string
	for _, r := range responses {
		if r.Err != nil && !errors.Is(r.Err, ErrNotFound) {
			list = append(list, r.Address)
			s.Progress("daemon at %s cannot be reached: %v", r.Address, r.Err)
		}
	}
	return list
}
