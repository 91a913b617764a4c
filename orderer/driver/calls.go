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
	// ErrResponse: the engine responded with an error status or an invalid body.
	ErrResponse = errors.New("invalid response from the engine")
	// errStaleFence: the engine has accepted a newer fencing number.
	errStaleFence = errors.New("engine has accepted a newer fencing number")
)

const (
	// rowPrefix starts the keys of the rows that hold fencing numbers.
	rowPrefix = "order/"
	// maxResponseBytes limits an engine's response; the state of an engine with 16
	// models takes less than 2 KB.
	maxResponseBytes = 64 << 10
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
	case orderer.ActionRaiseFence:
		err = d.raise(ctx, a)
	case orderer.ActionSendOrder:
		err = d.send(ctx, a)
	}
	switch {
	case errors.Is(err, errStaleFence):
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
	return out, errors.Wrapf(json.Unmarshal(row.Value, &out.Record), "decode the row of target %s", t.ID)
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
		return s, errors.Mark(errors.Wrap(err, "decode the engine's state"), ErrResponse)
	}
	return s, nil
}

// engineOrder is the body of POST /v1/orders.
type engineOrder struct {
	Fence uint64 `json:"fence"`
	Order string `json:"order"`
	Model string `json:"model"`
}

// send sends an order unless the lease ends first. Sendable is checked when the
// transport reads the body, which it does only once the connection is open: an
// engine that has received only the header does not act.
func (d *Driver) send(ctx context.Context, a orderer.Action) error {
	body, err := json.Marshal(engineOrder{Fence: a.Record.Fence, Order: a.Record.Order, Model: a.Record.Model})
	if err != nil {
		return errors.Wrap(err, "encode the order")
	}
	ctx, cancel := context.WithTimeout(ctx, max(a.Deadline-d.options.Clock(), 0))
	defer cancel()
	guarded := &leaseBody{reader: bytes.NewReader(body), sendable: func() bool { return a.Sendable(d.options.Clock()) }}
	_, err = d.do(ctx, http.MethodPost, a.Target.Address, "/v1/orders", guarded, int64(len(body)))
	return err
}

// do makes an HTTP call to an engine. Because the request has no GetBody,
// net/http does not retry it once it has begun to read the body.
func (d *Driver) do(ctx context.Context, method, address, path string, body io.Reader, length int64) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, body)
	if err != nil {
		return nil, errors.Wrap(err, "create the request")
	}
	request.ContentLength = length
	response, err := d.options.Client.Do(request)
	if err != nil {
		return nil, errors.Wrapf(err, "%s %s", method, path)
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	switch code := response.StatusCode; {
	case code == http.StatusConflict:
		return nil, errStaleFence
	case code < 200 || code >= 300:
		return nil, errors.Wrapf(ErrResponse, "%s %s: status %d", method, path, code)
	}
	return content, errors.Wrap(err, "read the response")
}

// leaseBody is a request body that fails with ErrExpired if it is read when the
// order may no longer be sent.
type leaseBody struct {
	reader   io.Reader
	sendable func() bool
}

// Read implements io.Reader.
func (b *leaseBody) Read(p []byte) (int, error) {
	if !b.sendable() {
		return 0, ErrExpired
	}
	return b.reader.Read(p)
}
