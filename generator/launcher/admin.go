package launcher

import (
	"bufio"
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// callTimeout is the time limit of one request, so that a paused process does not
// block a run.
const callTimeout = 5 * time.Second

// Status is the state that a daemon reports on its admin listener.
type Status struct {
	ID            string   `json:"id"`
	Incarnation   uint64   `json:"incarnation"`
	ConfigVersion uint64   `json:"configVersion"`
	Ready         bool     `json:"ready"`
	Members       []string `json:"members"`
	ShardsOwned   []string `json:"shardsOwned"`
	Waiting       int      `json:"waiting"`
	Held          int      `json:"held"`
}

// ReadStatus reads the status at an admin address.
func ReadStatus(ctx context.Context, admin string) (Status, error) {
	var s Status
	res, err := get(ctx, admin, "/v1/status")
	if err != nil {
		return s, err
	}
	defer func() { _ = res.Body.Close() }()
	return s, errors.Wrap(json.NewDecoder(res.Body).Decode(&s), "decode the status")
}

// Control holds the counters of a daemon's control traffic and control work since
// it was started.
type Control struct {
	// Bytes is the number of bytes sent to and received from other daemons.
	Bytes      float64
	CPUSeconds float64
}

// ReadControl reads the counters of control work at an admin address.
func ReadControl(ctx context.Context, admin string) (Control, error) {
	var c Control
	res, err := get(ctx, admin, "/metrics")
	if err != nil {
		return c, err
	}
	defer func() { _ = res.Body.Close() }()
	lines := bufio.NewScanner(res.Body)
	for lines.Scan() {
		name, text, _ := strings.Cut(lines.Text(), " ")
		value, err := strconv.ParseFloat(text, 64)
		switch {
		case err != nil:
		case strings.HasPrefix(name, "monsoond_control_bytes_total{"):
			c.Bytes += value
		case name == "monsoond_control_cpu_seconds_total":
			c.CPUSeconds = value
		}
	}
	return c, errors.Wrap(lines.Err(), "read the metrics")
}

func get(ctx context.Context, address, path string) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return nil, errors.Wrap(err, "create the request")
	}
	res, err := (&http.Client{Timeout: callTimeout}).Do(r)
	if err != nil {
		return nil, errors.Wrap(err, path)
	}
	if res.StatusCode != http.StatusOK {
		_ = res.Body.Close()
		return nil, errors.Newf("%s%s: status %d", address, path, res.StatusCode)
	}
	return res, nil
}
