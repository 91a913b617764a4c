package oracle

import (
	"encoding/json"
	"net/http"
)

// ServeHTTP serves the records: /oracle/executions, /oracle/service and
// /oracle/busy as JSON lines, /oracle/duplicates as one JSON line.
func (o *Oracle) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet {
		http.Error(w, "the oracle is read-only", http.StatusMethodNotAllowed)
		return
	}
	switch r.URL.Path {
	case "/oracle/executions":
		writeJSONLines(w, o.Executions())
	case "/oracle/service":
		writeJSONLines(w, o.Services())
	case "/oracle/busy":
		writeJSONLines(w, o.BusyTimes())
	case "/oracle/duplicates":
		writeJSONLines(w, []Duplicates{o.Duplicates()})
	default:
		http.NotFound(w, r)
	}
}

// writeJSONLines writes each value as one line of JSON. It stops when the client has
// disconnected.
func writeJSONLines[T any](w http.ResponseWriter, values []T) {
	w.Header().Set("Content-Type", "application/jsonl")
	e := json.NewEncoder(w)
	for _, v := range values {
		if e.Encode(v) != nil {
			return
		}
	}
}
