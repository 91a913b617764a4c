package provider

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"

	"github.com/cockroachdb/errors"
)

// Row is one row of the table service. Its revision changes with every put.
type Row struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
}

// Condition requires that a row has the given revision; 0 requires that the row is
// absent.
type Condition struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
}

// Table is the interface of the table service, which has transactions.
type Table interface {
	// Read returns one row. Errors: ErrNotFound, ErrUnavailable.
	Read(ctx context.Context, key string) (Row, error)
	// List returns up to limit rows whose keys have the prefix and are greater
	// than after, in order of key. Errors: ErrUnavailable.
	List(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Transact executes all puts and deletes atomically if every condition holds,
	// and nothing otherwise.
	// Errors: ErrConflict, ErrUnavailable, ErrUnknown, ErrRejected.
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
	var response struct {
		Rows []Row `json:"rows"`
	}
	err := t.client.getJSON(ctx, "/v1/rows?"+query.Encode(), &response)
	return response.Rows, err
}

// transaction is the JSON body of a transaction request.
type transaction struct {
	Conditions []Condition `json:"conditions"`
	Puts       []put       `json:"puts"`
	Deletes    []string    `json:"deletes"`
}

// put is a row in a transaction request; the service assigns its revision.
type put struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// Transact implements Table. The HTTP transport may resend a request that took
// effect, and the second one then conflicts with the first; after ErrConflict,
// callers have to read the rows to find out whether their own change took effect.
func (t *TableClient) Transact(ctx context.Context, conditions []Condition, puts []Row, deletes []string) error {
	request := transaction{Conditions: append([]Condition{}, conditions...), Puts: []put{}, Deletes: append([]string{}, deletes...)}
	for _, p := range puts {
		request.Puts = append(request.Puts, put{Key: p.Key, Value: p.Value})
	}
	body, err := json.Marshal(request)
	if err != nil {
		return errors.Mark(errors.Wrap(err, "encode transaction"), ErrRejected)
	}
	_, err = t.client.call(ctx, http.MethodPost, "/v1/transactions", body)
	return err
}
