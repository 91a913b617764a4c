package oracle

import (
	"encoding/json"
	"net/http"
)

// ServeHTTP serves the record: /oracle/executions, /oracle/service and
// /oracle/busy as JSON lines, /oracle/duplicates as one JSON value.
func (o *Oracle) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet {
		http.Error(w, "the oracle is read-only", http.StatusMethodNotAllowed)
		return
	}
	switch r.URL.Path {
	case "/oracle/executions":
		writeLines(w, o.Executions())
	case "/oracle/service":
		writeLines(w, o.Services())
	case "/oracle/busy":
		writeLines(w, o.BusyTimes())
	case "/oracle/duplicates":
		writeLines(w, []Duplicates{o.Duplicates()})
	default:
		http.NotFound(w, r)
	}
}

func writeLines[T any](w http.ResponseWriter, lines []T) {
	w.Header().Set("Content-Type", "application/jsonl")
	e := json.NewEncoder(w)
	for _, l := range lines {
		if e.Encode(l) != nil {
			return
		}
	}
}
