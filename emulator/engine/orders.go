package engine

import (
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"slices"

	"monsoondeck.example/emulator/wire"
)

// Weights is the store that an engine loads models from.
type Weights interface {
	Fetch(ctx context.Context, model string) error
}

// Kinds of orders.
const (
	OrderLoad   = "load"
	OrderUnload = "unload"
	OrderRole   = "role"
)

// Roles of an engine. An engine on standby refuses requests before running.
const (
	RoleServe   = "serve"
	RoleStandby = "standby"
)

// Order is the body of POST /v1/orders. Model names a model with its adapter
// and version.
type Order struct {
	Fence uint64 `json:"fence"`
	Order string `json:"order"`
	Model string `json:"model,omitempty"`
	Role  string `json:"role,omitempty"`
}

// orders is the state that orders change. It is guarded by Engine.mu.
type orders struct {
	models   map[string]bool // true: loaded, false: loading
	role     string
	fence    uint64
	accepted []Order
	refused  int
}

func newOrders(model string) orders {
	return orders{models: map[string]bool{model: true}, role: RoleServe}
}

// list returns the names of the loaded or of the loading models, sorted.
func (o orders) list(loaded bool) []string {
	out := []string{}
	for _, m := range slices.Sorted(maps.Keys(o.models)) {
		if o.models[m] == loaded {
			out = append(out, m)
		}
	}
	return out
}

// OrderRecord is the answer of GET /v1/orders.
type OrderRecord struct {
	Fence    uint64  `json:"fence"`
	Accepted []Order `json:"accepted"`
	Refused  int     `json:"refused"`
}

func (e *Engine) serveOrderRecord(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	r := OrderRecord{Fence: e.orders.fence, Accepted: slices.Clone(e.orders.accepted), Refused: e.orders.refused}
	e.mu.Unlock()
	wire.WriteJSON(w, http.StatusOK, r)
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&o); err != nil {
		wire.WriteError(w, http.StatusBadRequest, "body", err.Error())
		return
	}
	known := o.Order == OrderRole && (o.Role == RoleServe || o.Role == RoleStandby)
	if !known && (o.Model == "" || o.Order != OrderLoad && o.Order != OrderUnload) {
		wire.WriteError(w, http.StatusBadRequest, "order", "the order is not known or not complete")
		return
	}
	if !e.accept(o) {
		wire.WriteError(w, http.StatusConflict, "fence", "the fencing number is older than that of an accepted order")
		return
	}
	if e.faults.TakeLostAnswer() {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(http.StatusAccepted)
}

// accept applies an order unless its fencing number is old.
func (e *Engine) accept(o Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.Fence < e.orders.fence && !e.settings.IgnoreFence {
		e.orders.refused++
		return false
	}
	e.orders.fence = max(e.orders.fence, o.Fence)
	e.orders.accepted = append(e.orders.accepted, o)
	switch o.Order {
	case OrderRole:
		e.orders.role = o.Role
	case OrderUnload:
		delete(e.orders.models, o.Model)
	case OrderLoad:
		if _, known := e.orders.models[o.Model]; !known {
			e.orders.models[o.Model] = false
			go e.fetch(o.Model, e.incarnation)
		}
	}
	return true
}

// fetch loads a model from the weight store. A failed load leaves the model
// unloaded, so the sender has to repeat the order.
func (e *Engine) fetch(model string, incarnation uint64) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		select {
		case <-e.stop:
			cancel()
		case <-ctx.Done():
		}
	}()
	var err error
	if e.settings.Weights != nil {
		err = e.settings.Weights.Fetch(ctx, model)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, wanted := e.orders.models[model]; !wanted || e.incarnation != incarnation {
		return
	}
	if err != nil {
		delete(e.orders.models, model)
		return
	}
	e.orders.models[model] = true
}

// serves tells whether the engine takes requests for a model.
func (e *Engine) serves(model string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.orders.models[model] && e.orders.role == RoleServe
}
