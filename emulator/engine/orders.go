package engine

import (
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"slices"

	"monsoondeck.example/emulator/wire"
)

// WeightStore is the store from which the engine loads the weights of models.
type WeightStore interface {
	// Fetch returns when the weights of a model are loaded.
	Fetch(ctx context.Context, model string) error
}

// Kinds of orders.
const (
	OrderLoad   = "load"
	OrderUnload = "unload"
	OrderRole   = "role"
)

// Roles of an engine. An engine on standby refuses requests without running them.
const (
	RoleServe   = "serve"
	RoleStandby = "standby"
)

// Order is the body of POST /v1/orders: an instruction to load or unload a model or
// to change the role of the engine. Fence is its fencing token; Model names a model
// with its adapter and version.
type Order struct {
	Fence uint64 `json:"fence"`
	Order string `json:"order"`
	Model string `json:"model,omitempty"`
	Role  string `json:"role,omitempty"`
}

// orders is the state that orders change. Its fields are guarded by Engine.mu.
type orders struct {
	models   map[string]bool // true: loaded, false: loading
	role     string
	fence    uint64 // highest fencing token of an accepted order
	accepted []Order
	refused  int // number of orders refused for an old fencing token
}

func newOrders(model string) orders {
	return orders{models: map[string]bool{model: true}, role: RoleServe}
}

// modelNames returns the sorted names of the models that are loaded or, if loaded is
// false, of those still loading.
func (o orders) modelNames(loaded bool) []string {
	out := []string{}
	for _, m := range slices.Sorted(maps.Keys(o.models)) {
		if o.models[m] == loaded {
			out = append(out, m)
		}
	}
	return out
}

// OrderRecord is the response body of GET /v1/orders.
type OrderRecord struct {
	Fence    uint64  `json:"fence"`
	Accepted []Order `json:"accepted"`
	Refused  int     `json:"refused"`
}

// serveOrderRecord serves GET /v1/orders.
func (e *Engine) serveOrderRecord(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	r := OrderRecord{Fence: e.orders.fence, Accepted: slices.Clone(e.orders.accepted), Refused: e.orders.refused}
	e.mu.Unlock()
	wire.WriteJSON(w, http.StatusOK, r)
}

// serveOrder serves POST /v1/orders.
func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&o); err != nil {
		wire.WriteError(w, http.StatusBadRequest, "body", err.Error())
		return
	}
	validRole := o.Order == OrderRole && (o.Role == RoleServe || o.Role == RoleStandby)
	if !validRole && (o.Model == "" || o.Order != OrderLoad && o.Order != OrderUnload) {
		wire.WriteError(w, http.StatusBadRequest, "order", "the order is not known or not complete")
		return
	}
	if !e.applyOrder(o) {
		wire.WriteError(w, http.StatusConflict, "fence", "the fencing number is older than that of an accepted order")
		return
	}
	if e.faults.TakeLostAnswer() {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(http.StatusAccepted)
}

// applyOrder applies an order. It reports false, without applying the order, if the
// fencing token is lower than that of an accepted order, unless IgnoreFence is set.
func (e *Engine) applyOrder(o Order) bool {
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
		if _, ordered := e.orders.models[o.Model]; !ordered {
			e.orders.models[o.Model] = false
			go e.loadModel(o.Model, e.incarnation)
		}
	}
	return true
}

// loadModel loads a model from the weight store. A failed load leaves the model
// unloaded, so the client has to repeat the order. The result is discarded if the
// model was unloaded or the engine restarted in the meantime.
func (e *Engine) loadModel(model string, incarnation uint64) {
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

// serves reports whether the engine accepts requests for a model.
func (e *Engine) serves(model string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.orders.models[model] && e.orders.role == RoleServe
}
