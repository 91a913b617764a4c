package bench

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"monsoondeck.example/emulator"
	"monsoondeck.example/emulator/wire"
	"monsoondeck.example/generator/loader"
)

const (
	// latencyCalls is the number of direct and of routed calls.
	latencyCalls = 400
	// latencyDuration is the time for which each call occupies a slot.
	latencyDuration = time.Millisecond
)

// latency compares calls through a router with direct calls to the same service
// while the fleet is idle.
type latency struct {
	direct, routed loader.Histogram
}

// measureLatency alternates direct and routed calls, so that both see the same
// load of the machine.
func (r *run) measureLatency(ctx context.Context) (*latency, error) {
	var l latency
	query := "?" + wire.Directive{Request: "latency", Duration: latencyDuration}.String()
	direct := r.fleet.URL(emulator.KindService, r.deployment.Services[0].ID) + "/" + query
	routed := "http://" + r.fleet.Daemons[0].Caller + "/services/" + r.deployment.ServicePool + "/" + query
	for range latencyCalls {
		if err := timeCall(ctx, direct, "", &l.direct); err != nil {
			return nil, err
		}
		if err := timeCall(ctx, routed, r.deployment.Accounts[0].Key, &l.routed); err != nil {
			return nil, err
		}
	}
	return &l, nil
}

func timeCall(ctx context.Context, url, key string, h *loader.Histogram) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.Wrap(err, "create the request")
	}
	request.Header.Set("Authorization", "Bearer "+key)
	start := time.Now()
	res, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "measure the latency")
	}
	_, err = io.Copy(io.Discard, res.Body)
	_ = res.Body.Close()
	if err != nil || res.StatusCode != http.StatusOK {
		return errors.Newf("measure the latency of %s: status %d: %v", url, res.StatusCode, err)
	}
	h.Add(time.Since(start))
	return nil
}
