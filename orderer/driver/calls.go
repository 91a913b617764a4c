package driver

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"monsoondeck.example/orderer"
	"monsoondeck.example/provider"
)

// Errors of calls.
var (
	// ErrExpired: the lease ended before the order was sent.
	ErrExpired = errors.New("lease ended before the order was sent")
	// ErrAnswer: the engine's answer cannot be used.
	ErrAnswer = errors.New("answer of the engine cannot be used")
	// errFence: the engine knows a newer fencing number.
	errFence = errors.New("engine knows a newer fencing number")
)

const (
	// rowPrefix starts the keys of the rows that hold fencing numbers.
	rowPrefix = "order/"
	// maxReportBytes bounds an engine's report; one with 16 models has below 2 KB.
	maxReportBytes = 64 << 10
)

// RowKey is the key of a target's row in the table service.
func RowKey(target string) string { return rowPrefix + target }

// call makes one call and returns its reply.
func (d *Driver) call(ctx context.Context, a orderer.Action) orderer.Reply {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var r orderer.Reply
	var err error
	switch a.Kind {
	case orderer.ActionReadState:
		r.State, err = d.readState(ctx, a.Target)
	case orderer.ActionReadRow:
		r.Row, err = d.readRow(ctx, a.Target)
	case orderer.ActionRaise:
		err = d.raise(ctx, a)
	case orderer.ActionSend:
		err = d.send(ctx, a)
	}
	switch {
	case errors.Is(err, errFence):
		r.Result = orderer.ResultRefused
	case err != nil:
		r.Result = orderer.ResultFailed
	}
	return r
}

func (d *Driver) readRow(ctx context.Context, t orderer.Target) (orderer.Row, error) {
	row, err := d.options.Table.Read(ctx, RowKey(t.ID))
	if errors.Is(err, provider.ErrNotFound) {
		return orderer.Row{}, nil
	}
	if err != nil {
		return orderer.Row{}, err
	}
	out := orderer.Row{Revision: row.Revision}
	return out, errors.Wrapf(json.Unmarshal(row.Value, &out.Record), "row of target %s", t.ID)
}

func (d *Driver) raise(ctx context.Context, a orderer.Action) error {
	value, err := json.Marshal(a.Record)
	if err != nil {
		return errors.Wrap(err, "encode the order")
	}
	key := RowKey(a.Target.ID)
	return d.options.Table.Transact(ctx, []provider.Condition{{Key: key, Revision: a.Revision}}, []provider.Row{{Key: key, Value: value}}, nil)
}

func (d *Driver) readState(ctx context.Context, t orderer.Target) (orderer.State, error) {
	var s orderer.State
	body, err := d.do(ctx, http.MethodGet, t.Address, "/v1/load", nil, 0)
	if err != nil {
		return s, err
	}
	if err := json.Unmarshal(body, &s); err != nil {
		return s, errors.Mark(errors.Wrap(err, "decode the report"), ErrAnswer)
	}
	return s, nil
}

// engineOrder is the body of POST /v1/orders.
type engineOrder struct {
	Fence uint64 `json:"fence"`
	Order string `json:"order"`
	Model string `json:"model"`
}

// send sends an order unless the lease ends first. Sendable is asked when the
// transport takes the body, after the connection is there: an engine that has
// only the header does not act.
func (d *Driver) send(ctx context.Context, a orderer.Action) error {
	body, err := json.Marshal(engineOrder{Fence: a.Record.Fence, Order: a.Record.Order, Model: a.Record.Model})
	if err != nil {
		return errors.Wrap(err, "encode the order")
	}
	ctx, cancel := context.WithTimeout(ctx, max(a.Until-d.options.Clock(), 0))
	defer cancel()
	gate := &gatedBody{reader: bytes.NewReader(body), open: func() bool { return a.Sendable(d.options.Clock()) }}
	_, err = d.do(ctx, http.MethodPost, a.Target.Address, "/v1/orders", gate, int64(len(body)))
	return err
}

// do makes an HTTP call to an engine. net/http does not repeat a request whose
// body it has begun to read, because the request has no GetBody.
func (d *Driver) do(ctx context.Context, method, address, path string, body io.Reader, length int64) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, body)
	if err != nil {
		return nil, errors.Wrap(err, "make request")
	}
	request.ContentLength = length
	response, err := d.options.Client.Do(request)
	if err != nil {
		return nil, errors.Wrapf(err, "%s %s", method, path)
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxReportBytes))
	switch code := response.StatusCode; {
	case code == http.StatusConflict:
		return nil, errFence
	case code < 200 || code >= 300:
		return nil, errors.Wrapf(ErrAnswer, "%s %s: status %d", method, path, code)
	}
	return answer, errors.Wrap(err, "read the answer")
}

// gatedBody fails with ErrExpired if it is read too late.
type gatedBody struct {
	reader io.Reader
	open   func() bool
}

// Read implements io.Reader.
func (g *gatedBody) Read(p []byte) (int, error) {
	if !g.open() {
		return 0, ErrExpired
	}
	return g.reader.Read(p)
}
