package launcher

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"

	"monsoondeck.example/emulator"
	"monsoondeck.example/emulator/fault"
	"monsoondeck.example/emulator/hosts"
	"monsoondeck.example/emulator/oracle"
)

// Record holds what the emulated targets have recorded: the executions of requests,
// the service given to accounts, and the slot time used, by target and bucket.
type Record struct {
	Executions []oracle.Execution
	Services   []oracle.Service
	Busy       []oracle.SlotTime
}

// ReadRecord reads from the oracle what the emulated targets have recorded.
func (f *Fleet) ReadRecord(ctx context.Context) (Record, error) {
	var r Record
	return r, errors.CombineErrors(errors.CombineErrors(
		readLines(ctx, f, "/oracle/executions", &r.Executions),
		readLines(ctx, f, "/oracle/service", &r.Services)),
		readLines(ctx, f, "/oracle/busy", &r.Busy))
}

func readLines[T any](ctx context.Context, f *Fleet, path string, out *[]T) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, f.URL(emulator.KindOracle, "")+path, nil)
	if err != nil {
		return errors.Wrap(err, "create the oracle request")
	}
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		return errors.Wrap(err, "read the records of the targets from the oracle")
	}
	defer func() { _ = res.Body.Close() }()
	for d := json.NewDecoder(res.Body); d.More(); {
		var v T
		if err := d.Decode(&v); err != nil {
			return errors.Wrapf(err, "decode %s", path)
		}
		*out = append(*out, v)
	}
	return nil
}

// SetFault changes the faults of an emulated target or platform service.
func (f *Fleet) SetFault(ctx context.Context, kind, id string, c fault.Change) error {
	return f.send(ctx, http.MethodPost, f.URL(kind, id)+"/v1/control", c)
}

// SetPlatformFault changes the faults of the emulated platform: the table service,
// the object store and the host list.
func (f *Fleet) SetPlatformFault(ctx context.Context, c fault.Change) error {
	var all error
	for _, kind := range []string{emulator.KindTable, emulator.KindObjects, emulator.KindHosts} {
		all = errors.CombineErrors(all, f.SetFault(ctx, kind, "", c))
	}
	return all
}

// SetHosts replaces the host list of the emulated platform.
func (f *Fleet) SetHosts(ctx context.Context, list []hosts.Host) error {
	return f.send(ctx, http.MethodPut, f.URL(emulator.KindHosts, "")+"/v1/hosts", list)
}

func (f *Fleet) send(ctx context.Context, method, url string, body any) error {
	b, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "encode the request to an emulator")
	}
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(b))
	if err != nil {
		return errors.Wrap(err, "create the request to an emulator")
	}
	res, err := f.client.Do(r)
	if err != nil {
		return errors.Wrap(err, url)
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode >= 300 {
		return errors.Newf("%s %s: status %d", method, url, res.StatusCode)
	}
	return nil
}
