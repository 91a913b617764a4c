package provider

import (
	"context"
	"net/http"
	"net/url"
	"slices"

	"github.com/cockroachdb/errors"
)

// Objects is the interface of the object store.
type Objects interface {
	// Put stores an object. Errors: ErrUnavailable, ErrUnknown, ErrRejected.
	Put(ctx context.Context, key string, body []byte) error
	// Get returns an object. Errors: ErrNotFound, ErrUnavailable.
	Get(ctx context.Context, key string) ([]byte, error)
	// Delete removes an object. It returns no error if the object is absent. Errors:
	// ErrUnavailable, ErrUnknown, ErrRejected.
	Delete(ctx context.Context, key string) error
	// List returns the keys with the prefix, sorted. Errors: ErrUnavailable.
	List(ctx context.Context, prefix string) ([]string, error)
}

// ObjectsClient is the HTTP client of the object store; it implements Objects.
type ObjectsClient struct{ client client }

// NewObjects returns a client of the object store.
func NewObjects(o Options) *ObjectsClient { return &ObjectsClient{client: newClient(o)} }

// Put implements Objects.
func (s *ObjectsClient) Put(ctx context.Context, key string, body []byte) error {
	_, err := s.client.call(ctx, http.MethodPut, objectPath(key), body)
	return err
}

// Get implements Objects.
func (s *ObjectsClient) Get(ctx context.Context, key string) ([]byte, error) {
	return s.client.call(ctx, http.MethodGet, objectPath(key), nil)
}

// Delete implements Objects.
func (s *ObjectsClient) Delete(ctx context.Context, key string) error {
	_, err := s.client.call(ctx, http.MethodDelete, objectPath(key), nil)
	if errors.Is(err, ErrNotFound) {
		return nil
	}
	return err
}

// List implements Objects.
func (s *ObjectsClient) List(ctx context.Context, prefix string) ([]string, error) {
	var response struct {
		Keys []string `json:"keys"`
	}
	err := s.client.getJSON(ctx, "/v1/objects?"+url.Values{"prefix": {prefix}}.Encode(), &response)
	slices.Sort(response.Keys)
	return response.Keys, err
}

// objectPath returns the URL path of an object.
func objectPath(key string) string { return "/v1/objects/" + url.PathEscape(key) }
