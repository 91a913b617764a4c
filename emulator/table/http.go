package table

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"monsoondeck.example/emulator/wire"
)

const maxBodyBytes = 4 << 20

// Rows is the response body of a list request.
type Rows struct {
	Rows []Row `json:"rows"`
}

// Result is the response body of a transaction.
type Result struct {
	// Revision is the new revision of the table and of the rows written.
	Revision uint64 `json:"revision"`
}

// ServeHTTP serves the API of the table and /v1/control, which sets the faults.
func (t *Table) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path := r.URL.EscapedPath()
	if path == "/v1/control" {
		t.faults.ServeControl(w, r) // rows are durable, so a restart changes nothing
		return
	}
	if path == "/v1/stats" {
		wire.WriteJSON(w, http.StatusOK, t.Stats())
		return
	}
	if !t.faults.Gate(w, r) {
		return
	}
	switch {
	case r.Method == http.MethodGet && path == "/v1/rows":
		t.serveList(w, r)
	case r.Method == http.MethodGet && strings.HasPrefix(path, "/v1/rows/"):
		t.serveRead(w, strings.TrimPrefix(path, "/v1/rows/"))
	case r.Method == http.MethodPost && path == "/v1/transactions":
		t.serveTransact(w, r)
	default:
		wire.WriteError(w, http.StatusNotFound, "path", "no such operation")
	}
}

// refuseOverRate refuses a request that exceeds the rate limit.
func refuseOverRate(w http.ResponseWriter) {
	wire.Refuse(w, http.StatusTooManyRequests, "rate", "over the rate of the service")
}

// serveList serves GET /v1/rows.
func (t *Table) serveList(w http.ResponseWriter, r *http.Request) {
	if !t.admitRead(time.Now()) {
		refuseOverRate(w)
		return
	}
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil && q.Get("limit") != "" {
		wire.WriteError(w, http.StatusBadRequest, "limit", "limit is not a number")
		return
	}
	rows := t.List(q.Get("prefix"), q.Get("after"), clampLimit(limit))
	t.respond(w, Rows{Rows: rows})
}

// serveRead serves GET /v1/rows/{key}, of which it gets the escaped key.
func (t *Table) serveRead(w http.ResponseWriter, escaped string) {
	if !t.admitRead(time.Now()) {
		refuseOverRate(w)
		return
	}
	key, err := url.PathUnescape(escaped)
	if err != nil {
		wire.WriteError(w, http.StatusBadRequest, "key", err.Error())
		return
	}
	row, ok := t.Read(key)
	if !ok {
		wire.WriteError(w, http.StatusNotFound, "notFound", "no row "+key)
		return
	}
	t.respond(w, row)
}

// serveTransact serves POST /v1/transactions.
func (t *Table) serveTransact(w http.ResponseWriter, r *http.Request) {
	var x Transaction
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&x); err != nil {
		wire.WriteError(w, http.StatusBadRequest, "body", err.Error())
		return
	}
	if !t.admitWrite(time.Now()) {
		refuseOverRate(w)
		return
	}
	revision, failed, ok := t.Transact(x)
	if !ok {
		wire.WriteError(w, http.StatusConflict, "conflict", "condition failed on "+failed)
		return
	}
	t.respond(w, Result{Revision: revision})
}

// respond sends a response, or breaks the connection if the fault LoseAnswers asks
// for it.
func (t *Table) respond(w http.ResponseWriter, v any) {
	if t.faults.TakeLostAnswer() {
		panic(http.ErrAbortHandler)
	}
	wire.WriteJSON(w, http.StatusOK, v)
}
