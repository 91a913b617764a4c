package receiver

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/http"
	"strconv"
	"strings"
	"time"

	"monsoondeck.example/configurer"
)

const (
	modelPath   = "/v1/chat/completions"
	servicePath = "/services/"
	// defaultOutputTokens is the expected output of a request without max_tokens.
	// defaultServiceUnits is the expected cost of a service request in units; it
	// equals one slot used for one second.
	defaultOutputTokens = 256
	defaultServiceUnits = 50
	// bytesPerToken converts the size of a prompt to an estimated number of tokens.
	bytesPerToken = 4
	// affinityPrefixBytes is the length of the prompt prefix that is hashed to find
	// an engine whose cache may hold it.
	affinityPrefixBytes = 1 << 10
	maxKeyBytes         = 256
	keyHeader           = "Idempotency-Key"
	repeatHeader        = "Monsoondeck-Repeatable"
	deadlineHeader      = "Monsoondeck-Deadline-Ms"
	ticketHeader        = "Monsoondeck-Ticket"
)

// callerRequest is a request as received from a caller, with the values that the
// router derives from it.
type callerRequest struct {
	id      string
	account string
	pool    string
	// engine is true for a model request and false for a service request.
	engine bool
	method string
	// targetURI is the path and query to send to the target.
	targetURI string
	header    http.Header
	body      []byte
	trailer   http.Header
	// repeatable allows retries; it is false if the request must not run twice.
	repeatable bool
	// idempotencyKey and ticket are empty if not sent; at most one is set.
	idempotencyKey string
	ticket         string
	// forwarded is true if another router sent the request to this one as the
	// issuer of its ticket.
	forwarded bool
	// callerURI is the path and query as the caller sent them.
	callerURI string
	deadline  time.Time
	// respondBy is the time by which the target must have begun to respond. It is
	// the deadline that the caller set. It is zero if the caller set none, and for
	// a forwarded request, whose deadline header the forwarding router may have
	// added.
	respondBy time.Time
	// estimatedUnits is the expected cost, see Settlement.Units.
	estimatedUnits float64
	// promptTokens is estimated from the size of the messages; 0 for services.
	promptTokens float64
	// prefixHash is PermitRequest.PrefixHash.
	prefixHash uint64
}

// newCallerRequest determines from the path whether the request is for a model
// or a service.
func (h *Handler) newCallerRequest(r *http.Request) (*callerRequest, *errorReply) {
	cr := &callerRequest{method: r.Method, header: r.Header, callerURI: r.URL.RequestURI(), repeatable: true}
	path := r.URL.EscapedPath()
	switch {
	case path == modelPath && r.Method == http.MethodPost:
		cr.engine, cr.targetURI = true, modelPath
	case path == modelPath:
		return nil, notRun(http.StatusMethodNotAllowed, "method", "use POST")
	case strings.HasPrefix(path, servicePath):
		name, rest, _ := strings.Cut(path[len(servicePath):], "/")
		cr.pool, cr.targetURI = name, "/"+rest
		cr.repeatable = r.Method != http.MethodPost && r.Method != http.MethodPatch && r.Method != http.MethodConnect
	default:
		return nil, notRun(http.StatusNotFound, "unknownPath", "use "+modelPath+" or "+servicePath+"<name>/")
	}
	if r.URL.RawQuery != "" {
		cr.targetURI += "?" + r.URL.RawQuery
	}
	return cr, nil
}

// readControlHeaders reads the deadline, idempotency key, ticket and whether the
// request may be repeated.
func (h *Handler) readControlHeaders(r *http.Request, cr *callerRequest) *errorReply {
	switch r.Header.Get(repeatHeader) {
	case "", "true":
	case "false":
		cr.repeatable = false
	default:
		return notRun(http.StatusBadRequest, "badRepeatable", repeatHeader+" must be true or false")
	}
	limit := h.options.DefaultDeadline
	if v := r.Header.Get(deadlineHeader); v != "" {
		n, err := strconv.ParseInt(v, 10, 64)
		if err != nil || n <= 0 || n > maximumDeadline.Milliseconds() {
			return notRun(http.StatusBadRequest, "badDeadline", deadlineHeader+" must be a number of milliseconds from 1 to 3600000")
		}
		limit = time.Duration(n) * time.Millisecond
	}
	cr.deadline = time.Now().Add(limit)
	if r.Header.Get(deadlineHeader) != "" && r.Header.Get(forwardedHeader) == "" {
		cr.respondBy = cr.deadline
	}
	cr.idempotencyKey = r.Header.Get(keyHeader)
	if len(cr.idempotencyKey) > maxKeyBytes {
		return notRun(http.StatusBadRequest, "badKey", keyHeader+" must have at most 256 characters")
	}
	cr.ticket = r.Header.Get(ticketHeader)
	cr.forwarded = r.Header.Get(forwardedHeader) != ""
	if cr.idempotencyKey != "" && cr.ticket != "" {
		return notRun(http.StatusBadRequest, "badTicket", "use either "+keyHeader+" or "+ticketHeader)
	}
	if cr.idempotencyKey != "" || cr.ticket != "" {
		cr.repeatable = false
	}
	return nil
}

// hash identifies the request, so that a key or ticket that was used for a
// different request is rejected.
func (cr *callerRequest) hash() string {
	sum := sha256.New()
	// Writing to a hash cannot fail.
	_, _ = fmt.Fprintf(sum, "%s\x00%s\x00", cr.method, cr.callerURI)
	_, _ = sum.Write(cr.body)
	return hex.EncodeToString(sum.Sum(nil))
}

// completionBody holds the fields of a model request that the router reads.
type completionBody struct {
	Model     string          `json:"model"`
	MaxTokens float64         `json:"max_tokens"`
	Messages  json.RawMessage `json:"messages"`
}

// prefixHash hashes the first affinityPrefixBytes of the messages. The result is
// never 0, which stands for no hash. All routers must compute the same value,
// because the owner of a shard compares hashes from several routers.
func prefixHash(messages []byte) uint64 {
	hash := fnv.New64a()
	// Writing to a hash cannot fail.
	_, _ = hash.Write(messages[:min(len(messages), affinityPrefixBytes)])
	return max(1, hash.Sum64())
}

// parse parses the body of a model request, looks up the pool and checks that
// the account may use it.
func (cr *callerRequest) parse(c configurer.Config, account configurer.Account) *errorReply {
	kind := configurer.KindService
	cr.estimatedUnits = defaultServiceUnits
	if cr.engine {
		kind = configurer.KindEngine
		if e := cr.parseCompletionBody(); e != nil {
			return e
		}
	}
	targets := c.Pool(cr.pool)
	if len(targets) == 0 || targets[0].Kind != kind {
		if cr.engine {
			return notRun(http.StatusNotFound, "unknownModel", "there is no model "+strconv.Quote(cr.pool))
		}
		return notRun(http.StatusNotFound, "unknownService", "there is no service "+strconv.Quote(cr.pool))
	}
	if !account.MayUse(cr.pool) {
		return notRun(http.StatusForbidden, "poolNotAllowed", "the account may not use "+strconv.Quote(cr.pool))
	}
	return nil
}

func (cr *callerRequest) parseCompletionBody() *errorReply {
	var body completionBody
	if err := json.Unmarshal(cr.body, &body); err != nil {
		return notRun(http.StatusBadRequest, "badJson", "the body is not a JSON request: "+err.Error())
	}
	if body.Model == "" || len(body.Messages) == 0 {
		return notRun(http.StatusBadRequest, "badRequest", "model and messages are required")
	}
	if body.MaxTokens < 0 {
		return notRun(http.StatusBadRequest, "badRequest", "max_tokens must not be negative")
	}
	setDefault(&body.MaxTokens, defaultOutputTokens)
	cr.pool = body.Model
	cr.promptTokens = float64(len(body.Messages)) / bytesPerToken
	cr.estimatedUnits = body.MaxTokens + 0.1*cr.promptTokens
	cr.prefixHash = prefixHash(body.Messages)
	return nil
}
