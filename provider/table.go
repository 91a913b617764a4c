package provider

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"

	"github.com/cockroachdb/errors"
)

// Row is one row of the table service. The revision changes with every put.
type Row struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
}

// Condition requires a row to be at a revision; 0 requires it to be absent.
type Condition struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
}

// Table is the transactional table service.
type Table interface {
	// Read returns one row. Errors: ErrNotFound, ErrUnavailable.
	Read(ctx context.Context, key string) (Row, error)
	// List returns up to limit rows whose keys have the prefix and are greater
	// than after, in order of key. Errors: ErrUnavailable.
	List(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Transact does all puts and deletes if every condition holds, or nothing.
	// Errors: ErrConflict, ErrUnavailable, ErrUnknown, ErrRefused.
	Transact(ctx context.Context, conditions []Condition, puts []Row, deletes []string) error
}

// TableClient is the HTTP client of the table service; it implements Table.
type TableClient struct{ client client }

// NewTable returns a client of the table service.
func NewTable(o Options) *TableClient { return &TableClient{client: newClient(o)} }

// Read implements Table.
func (t *TableClient) Read(ctx context.Context, key string) (Row, error) {
	var row Row
	err := t.client.getJSON(ctx, "/v1/rows/"+url.PathEscape(key), &row)
	row.Key = key
	return row, err
}

// List implements Table.
func (t *TableClient) List(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	query := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	var answer struct {
		Rows []Row `json:"rows"`
	}
	err := t.client.getJSON(ctx, "/v1/rows?"+query.Encode(), &answer)
	return answer.Rows, err
}

// transaction is the body of a transaction request.
type transaction struct {
	Conditions []Condition `json:"conditions"`
	Puts       []put       `json:"puts"`
	Deletes    []string    `json:"deletes"`
}

type put struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// Transact implements Table. A conflict can also be the answer to a repetition
// by the HTTP transport of a request that took effect; callers recognise their
// own change by reading it back.
func (t *TableClient) Transact(ctx context.Context, conditions []Condition, puts []Row, deletes []string) error {
	request := transaction{Conditions: append([]Condition{}, conditions...), Puts: []put{}, Deletes: append([]string{}, deletes...)}
	for _, p := range puts {
		request.Puts = append(request.Puts, put{Key: p.Key, Value: p.Value})
	}
	body, err := json.Marshal(request)
	if err != nil {
		return errors.Mark(errors.Wrap(err, "encode transaction"), ErrRefused)
	}
	_, err = t.client.call(ctx, http.MethodPost, "/v1/transactions", body)
	return err
}
