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
	// defaultTokens is the expected output of a request without max_tokens, and
	// defaultService the expected cost of a service call: one second of a slot.
	defaultTokens  = 256
	defaultService = 50
	// bytesPerToken converts the size of a prompt into an estimate of tokens.
	bytesPerToken = 4
	// affinityBytes is the length of the prompt prefix that selects a cache.
	affinityBytes = 1 << 10
	maximumKey    = 256
	keyHeader     = "Idempotency-Key"
	repeatHeader  = "Monsoondeck-Repeatable"
	timeHeader    = "Monsoondeck-Deadline-Ms"
	ticketHeader  = "Monsoondeck-Ticket"
)

// job is one caller's request.
type job struct {
	id      string
	account string
	pool    string
	engine  bool
	method  string
	uri     string
	header  http.Header
	body    []byte
	trailer http.Header
	// repeatable permits retries; false if a second run could do harm.
	repeatable bool
	key        string
	ticket     string
	// forwarded is true when another router sent the request to this one.
	forwarded bool
	// path is the path and query as the caller sent them.
	path     string
	deadline time.Time
	// answerBy is the deadline that the caller named, zero without one.
	answerBy time.Time
	estimate float64
	prompt   float64
	affinity uint64
}

// route recognises the kind of request by its path.
func (h *Handler) route(r *http.Request) (*job, *failure) {
	j := &job{method: r.Method, header: r.Header, path: r.URL.RequestURI(), repeatable: true}
	path := r.URL.EscapedPath()
	switch {
	case path == modelPath && r.Method == http.MethodPost:
		j.engine, j.uri = true, modelPath
	case path == modelPath:
		return nil, notRun(http.StatusMethodNotAllowed, "method", "use POST")
	case strings.HasPrefix(path, servicePath):
		name, rest, _ := strings.Cut(path[len(servicePath):], "/")
		j.pool, j.uri = name, "/"+rest
		j.repeatable = r.Method != http.MethodPost && r.Method != http.MethodPatch && r.Method != http.MethodConnect
	default:
		return nil, notRun(http.StatusNotFound, "unknownPath", "use "+modelPath+" or "+servicePath+"<name>/")
	}
	if r.URL.RawQuery != "" {
		j.uri += "?" + r.URL.RawQuery
	}
	return j, nil
}

// readControls reads the headers that control how the request is handled.
func (h *Handler) readControls(r *http.Request, j *job) *failure {
	switch r.Header.Get(repeatHeader) {
	case "", "true":
	case "false":
		j.repeatable = false
	default:
		return notRun(http.StatusBadRequest, "badRepeatable", repeatHeader+" must be true or false")
	}
	limit := h.options.Deadline
	if v := r.Header.Get(timeHeader); v != "" {
		n, err := strconv.ParseInt(v, 10, 64)
		if err != nil || n <= 0 || n > maximumDeadline.Milliseconds() {
			return notRun(http.StatusBadRequest, "badDeadline", timeHeader+" must be a number of milliseconds from 1 to 3600000")
		}
		limit = time.Duration(n) * time.Millisecond
	}
	j.deadline = time.Now().Add(limit)
	if r.Header.Get(timeHeader) != "" && r.Header.Get(forwardedHeader) == "" {
		j.answerBy = j.deadline
	}
	j.key = r.Header.Get(keyHeader)
	if len(j.key) > maximumKey {
		return notRun(http.StatusBadRequest, "badKey", keyHeader+" must have at most 256 characters")
	}
	j.ticket = r.Header.Get(ticketHeader)
	j.forwarded = r.Header.Get(forwardedHeader) != ""
	if j.key != "" && j.ticket != "" {
		return notRun(http.StatusBadRequest, "badTicket", "use either "+keyHeader+" or "+ticketHeader)
	}
	if j.key != "" || j.ticket != "" {
		j.repeatable = false
	}
	return nil
}

// hash identifies the request, so that a key or ticket used for another
// request is noticed.
func (j *job) hash() string {
	sum := sha256.New()
	// Writing to a hash cannot fail.
	_, _ = fmt.Fprintf(sum, "%s\x00%s\x00", j.method, j.path)
	_, _ = sum.Write(j.body)
	return hex.EncodeToString(sum.Sum(nil))
}

// completion holds the fields of a model request that the router reads.
type completion struct {
	Model     string          `json:"model"`
	MaxTokens float64         `json:"max_tokens"`
	Messages  json.RawMessage `json:"messages"`
}

// affinity hashes the beginning of the messages. All routers must agree on the
// value, because the owner of a shard compares hashes of several routers.
func affinity(messages []byte) uint64 {
	f := fnv.New64a()
	// Writing to a hash cannot fail.
	_, _ = f.Write(messages[:min(len(messages), affinityBytes)])
	return max(1, f.Sum64())
}

// parse reads the body, finds the pool and checks that the account may use it.
func (j *job) parse(c configurer.Config, account configurer.Account) *failure {
	kind := configurer.KindService
	j.estimate = defaultService
	if j.engine {
		kind = configurer.KindEngine
		if f := j.parseCompletion(); f != nil {
			return f
		}
	}
	targets := c.Pool(j.pool)
	if len(targets) == 0 || targets[0].Kind != kind {
		if j.engine {
			return notRun(http.StatusNotFound, "unknownModel", "there is no model "+strconv.Quote(j.pool))
		}
		return notRun(http.StatusNotFound, "unknownService", "there is no service "+strconv.Quote(j.pool))
	}
	if !account.MayUse(j.pool) {
		return notRun(http.StatusForbidden, "poolNotAllowed", "the account may not use "+strconv.Quote(j.pool))
	}
	return nil
}

func (j *job) parseCompletion() *failure {
	var c completion
	if err := json.Unmarshal(j.body, &c); err != nil {
		return notRun(http.StatusBadRequest, "badJson", "the body is not a JSON request: "+err.Error())
	}
	if c.Model == "" || len(c.Messages) == 0 {
		return notRun(http.StatusBadRequest, "badRequest", "model and messages are required")
	}
	if c.MaxTokens < 0 {
		return notRun(http.StatusBadRequest, "badRequest", "max_tokens must not be negative")
	}
	setDefault(&c.MaxTokens, defaultTokens)
	j.pool = c.Model
	j.prompt = float64(len(c.Messages)) / bytesPerToken
	j.estimate = c.MaxTokens + 0.1*j.prompt
	j.affinity = affinity(c.Messages)
	return nil
}
