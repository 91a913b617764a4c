// Package fleetclient asks the admin listeners of all daemons.
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
	// maxParallel bounds the daemons asked at once.
	maxParallel = 32
	// maxAnswerBytes bounds one answer.
	maxAnswerBytes = 16 << 20
)

// ErrNotFound means that the daemon was reached and does not know the thing
// asked for.
var ErrNotFound = errors.New("daemon does not know it")

// Answer is the answer of one daemon.
type Answer[T any] struct {
	Address string
	Value   T
	// Err is nil, ErrNotFound, or tells why there is no answer.
	Err error
}

// Ask sends a GET request to every daemon in the settings and returns the
// answers in the order of the settings.
func Ask[T any](ctx context.Context, s *session.Session, path ...string) ([]Answer[T], error) {
	if len(s.Settings.Daemons) == 0 {
		return nil, failure.Usage("no daemons to ask", "Set --daemons or MONSOONDECK_DAEMONS to the addresses of their admin listeners.")
	}
	for i := range path {
		path[i] = url.PathEscape(path[i])
	}
	answers := make([]Answer[T], len(s.Settings.Daemons))
	client := s.Factory.HTTP()
	var group errgroup.Group
	group.SetLimit(maxParallel)
	for i, address := range s.Settings.Daemons {
		group.Go(func() error {
			answers[i].Address = address
			answers[i].Err = get(ctx, s, client, "http://"+address+"/v1/"+strings.Join(path, "/"), &answers[i].Value)
			return nil
		})
	}
	return answers, group.Wait()
}

func get(ctx context.Context, s *session.Session, client *http.Client, address string, to any) error {
	ctx, cancel := context.WithTimeout(ctx, s.Settings.Timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return errors.Wrap(err, "address")
	}
	response, err := client.Do(request)
	if err != nil {
		return errors.Wrap(err, "no answer")
	}
	defer func() { _ = response.Body.Close() }()
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return ErrNotFound
	default:
		return errors.Newf("status %d", response.StatusCode)
	}
	return errors.Wrap(json.NewDecoder(io.LimitReader(response.Body, maxAnswerBytes)).Decode(to), "decode the answer")
}

// Unreachable tells which daemons gave no answer; nil when all did.
func Unreachable[T any](s *session.Session, answers []Answer[T]) []string {
	var list []string
	for _, a := range answers {
		if a.Err != nil && !errors.Is(a.Err, ErrNotFound) {
			list = append(list, a.Address)
			s.Progress("daemon at %s cannot be reached: %v", a.Address, a.Err)
		}
	}
	return list
}
