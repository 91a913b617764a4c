package driver

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/onsi/gomega"

	"monsoondeck.example/emulator/wire"
	"monsoondeck.example/generator/loader"
)

// Call is one request of a client account. Calls with the same ID have the same
// content, so they may share an idempotency key.
type Call struct {
	ID string
	// Account is the account ID; empty means account-1.
	Account string
	// Key is the idempotency key; empty for none.
	Key string
	// Ticket is a ticket issued by a daemon; empty for none.
	Ticket string
	// Method is the HTTP method of a call to the plain service; empty for a call
	// to the model.
	Method string
	// Duration is how long the target runs the call.
	Duration time.Duration
	// Tokens is the length of a streamed answer of the model.
	Tokens int
	// Deadline is the deadline sent with the call; 0 for none.
	Deadline time.Duration
	// Once marks the call as not repeatable.
	Once bool
}

// KeyedCall returns a keyed call to the plain service that must run at most once.
func KeyedCall(id string) Call { return Call{ID: id, Key: "key-" + id, Method: http.MethodPost} }

// StreamCall returns a call to the model with a streamed answer.
func StreamCall(id string, tokens int) Call { return Call{ID: id, Tokens: tokens} }

// Reply is the result of one attempt of a call, as the caller saw it.
type Reply struct {
	Call     Call
	Status   int
	Outcome  loader.Outcome
	Code     string
	Replayed bool
	Body     string
	// Err is set when the request failed or the response was cut short.
	Err error
}

func (r Reply) String() string {
	return fmt.Sprintf("%s: %d %s %s %v", r.Call.ID, r.Status, r.Outcome, r.Code, r.Err)
}

func (c Call) request(address string) (*http.Request, error) {
	d := wire.Directive{Request: c.ID, Tokens: c.Tokens, Duration: c.Duration}.String()
	method, path, body := c.Method, "/services/"+ServicePool+"/orders", "an order "+d
	switch c.Method {
	case "":
		method, path = http.MethodPost, "/v1/chat/completions"
		body = fmt.Sprintf(`{"model":%q,"stream":true,"messages":[{"role":"user","content":%q}]}`, Model, "a question "+d)
	case http.MethodGet:
		path, body = path+"?"+d, ""
	}
	r, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "create the request")
	}
	// Without GetBody the transport never resends a request on its own.
	r.GetBody = nil
	c.setHeaders(r.Header)
	return r, nil
}

func (c Call) setHeaders(h http.Header) {
	h.Set("Authorization", "Bearer key-of-"+c.account())
	h.Set(wire.HeaderRequestID, c.ID)
	h.Set("Content-Type", "application/json")
	for name, value := range map[string]string{"Idempotency-Key": c.Key, "Monsoondeck-Ticket": c.Ticket} {
		if value != "" {
			h.Set(name, value)
		}
	}
	if c.Once {
		h.Set("Monsoondeck-Repeatable", "false")
	}
	if c.Deadline > 0 {
		h.Set("Monsoondeck-Deadline-Ms", fmt.Sprint(c.Deadline.Milliseconds()))
	}
}

func (c Call) account() string {
	if c.Account == "" {
		return "account-1"
	}
	return c.Account
}

// Send sends a call to the caller address of a router and records the reply.
func (f *Fleet) Send(address string, c Call) Reply {
	r := f.attempt(address, c)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.replies[c.ID] = append(f.replies[c.ID], r)
	return r
}

// SendAsync sends a call in the background.
func (f *Fleet) SendAsync(address string, c Call) <-chan Reply {
	out := make(chan Reply, 1)
	go func() { out <- f.Send(address, c) }()
	return out
}

func (f *Fleet) attempt(address string, c Call) Reply {
	reply := Reply{Call: c, Outcome: loader.OutcomeUnknown}
	// The timeout ends a call to a process that never answers.
	ctx, cancel := context.WithTimeout(context.Background(), 2*Timeout)
	defer cancel()
	r, err := c.request(address)
	if err != nil {
		reply.Err = err
		return reply
	}
	res, err := f.client.Do(r.WithContext(ctx))
	if err != nil {
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			reply.Outcome = loader.OutcomeUnsent
		}
		reply.Err = err
		return reply
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	reply.fill(res, body, err)
	return reply
}

func errorCode(body []byte) string {
	var e struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	if json.Unmarshal(body, &e) != nil {
		return ""
	}
	return e.Error.Code
}

// Whole reports whether the reply is the complete answer to its own call.
func (r Reply) Whole() bool {
	if r.Err != nil || r.Status != http.StatusOK || r.Outcome != loader.OutcomeComplete {
		return false
	}
	if r.Call.Method != "" {
		return strings.Contains(r.Body, fmt.Sprintf(`"request":%q`, r.Call.ID))
	}
	return r.Tokens() == wire.Answer(r.Call.ID, r.Call.Tokens) && strings.Contains(r.Body, "data: [DONE]")
}

// Tokens returns the text of a streamed answer.
func (r Reply) Tokens() string {
	var text strings.Builder
	for line := range strings.SplitSeq(r.Body, "\n") {
		data, ok := strings.CutPrefix(line, "data: ")
		var e struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		if !ok || json.Unmarshal([]byte(data), &e) != nil {
			continue
		}
		for _, c := range e.Choices {
			_, _ = text.WriteString(c.Delta.Content) // a strings.Builder never fails
		}
	}
	return text.String()
}

// RequestTicket gets a ticket from a daemon.
func (f *Fleet) RequestTicket(address string) string {
	r, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/tickets", http.NoBody)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	Call{ID: "ticket"}.setHeaders(r.Header)
	res, err := f.client.Do(r)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = res.Body.Close() }()
	var t struct {
		Ticket string `json:"ticket"`
	}
	gomega.Expect(res.StatusCode).To(gomega.Equal(http.StatusCreated))
	gomega.Expect(json.NewDecoder(res.Body).Decode(&t)).To(gomega.Succeed())
	return t.Ticket
}
