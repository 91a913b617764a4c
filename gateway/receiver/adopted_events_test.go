package receiver

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"monsoondeck.example/gateway/courier"
	"monsoondeck.example/limiter"
)

// plainProtocol is a Protocol that only copies the header of a response.
type plainProtocol struct{ Protocol }

func (plainProtocol) CopyResponseHeader(http.Header, http.Header) {}

// Guards against LOST: events without IDs arrived after the attempt had been cancelled for
// another target, and forwarding them made the stream one that no target can continue.
func TestEventsAfterTheAdoptionDoNotPreventTheContinuation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/", nil)
		answer := httptest.NewRecorder()
		memory := limiter.NewAdmission(limiter.AdmissionSettings{TotalBytes: 1 << 20})
		p := &proxyRequest{
			receiver: New(Options{ShutdownState: notStopping{}, RetryBudget: &budget{retries: 1}, Protocol: plainProtocol{}, Memory: memory, Logger: slog.New(slog.DiscardHandler), Permits: &freeTarget{permit: &stallCounter{}}, Clock: func() time.Duration { return 0 }}),
			route:    patientRoute, arrived: time.Now(), request: r, writer: answer, control: http.NewResponseController(answer),
		}
		ctx, cancel := context.WithCancelCause(t.Context())
		permit := &stallCounter{}
		w := newStallWatch(ctx, p, permit, p.route.Timeout, cancel)
		p.attempts = 1 // as once the header of the response was read
		w.timerFired(w.due)
		w.timerFired(w.due)
		synctest.Wait()
		if ctx.Err() == nil {
			t.Fatal("the attempt was not cancelled")
		}
		body := io.NopCloser(io.MultiReader(strings.NewReader("data: a\n\n"), failingReader{}))
		outcome := p.forwardStream(ctx, permit, w, &courier.Response{Status: http.StatusOK, Body: body})
		p.replacement = w.stop()
		if outcome != outcomeRetry || !p.mayTryAgain(t.Context()) {
			t.Errorf("outcome %v, the stream cannot be continued; forwarded %q", outcome, answer.Body)
		}
	})
}

// failingReader is the end of a body whose connection was closed.
type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, courier.ErrBroken }
