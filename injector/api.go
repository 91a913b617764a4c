package injector

import (
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"
)

// maxRequestBytes limits the body of a control request.
const maxRequestBytes = 64 << 10

// linkRequest is the body of a request to add a link.
type linkRequest struct {
	Name    string `json:"name"`
	Listen  string `json:"listen"`
	Forward string `json:"forward"`
}

// linkState is the representation of a link in responses.
type linkState struct {
	Name          string `json:"name"`
	Listen        string `json:"listen"`
	Forward       string `json:"forward"`
	Fault         Fault  `json:"fault"`
	Accepted      uint64 `json:"accepted"`
	ForwardBytes  uint64 `json:"forwardBytes"`
	BackwardBytes uint64 `json:"backwardBytes"`
	HeldBytes     int    `json:"heldBytes"`
}

// errorBody is the body of an error response.
type errorBody struct {
	Error struct {
		Code    string `json:"code"`
		Message string `json:"message"`
	} `json:"error"`
}

// Handler returns the control API of the proxy.
func (p *Proxy) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /v1/links", func(w http.ResponseWriter, _ *http.Request) {
		list := []linkState{}
		for _, l := range p.Links() {
			list = append(list, l.describe())
		}
		reply(w, http.StatusOK, list)
	})
	m.HandleFunc("POST /v1/links", func(w http.ResponseWriter, r *http.Request) {
		var q linkRequest
		if !decode(w, r, &q) {
			return
		}
		l, err := p.Add(q.Name, q.Listen, q.Forward)
		if err != nil {
			replyError(w, err)
			return
		}
		reply(w, http.StatusCreated, l.describe())
	})
	m.HandleFunc("DELETE /v1/links/{name}", func(w http.ResponseWriter, r *http.Request) {
		if err := p.Remove(r.PathValue("name")); err != nil {
			replyError(w, err)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
	m.HandleFunc("POST /v1/links/{name}/fault", p.handleFault)
	return m
}

func (p *Proxy) handleFault(w http.ResponseWriter, r *http.Request) {
	l, err := p.Link(r.PathValue("name"))
	if err != nil {
		replyError(w, err)
		return
	}
	var f Fault
	if !decode(w, r, &f) {
		return
	}
	if err := l.SetFault(f); err != nil {
		replyError(w, err)
		return
	}
	reply(w, http.StatusOK, l.describe())
}

func (l *Link) describe() linkState {
	return linkState{Name: l.name, Listen: l.Address(), Forward: l.forward, Fault: l.Fault(), Accepted: l.Accepted(),
		ForwardBytes: l.DeliveredBytes(Forward), BackwardBytes: l.DeliveredBytes(Backward), HeldBytes: l.Held(Forward) + l.Held(Backward)}
}

func decode(w http.ResponseWriter, r *http.Request, v any) bool {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		replyError(w, errors.Mark(err, ErrFault))
		return false
	}
	return true
}

func replyError(w http.ResponseWriter, err error) {
	var b errorBody
	status := http.StatusInternalServerError
	b.Error.Code, b.Error.Message = "failed", err.Error()
	switch {
	case errors.Is(err, ErrNoLink):
		status, b.Error.Code = http.StatusNotFound, "noLink"
	case errors.IsAny(err, ErrFault, ErrLink):
		status, b.Error.Code = http.StatusBadRequest, "invalid"
	}
	reply(w, status, b)
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
