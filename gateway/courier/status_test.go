package courier_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"monsoondeck.example/gateway/courier"
)

// Guards against MIXED of 2026-12-06: a response with the status 000 was taken for an
// informational one, so that what followed it was the answer, or the request waited until its
// deadline; and one above 599 went to the caller.
func TestStatusOutOfRangeIsInvalid(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "600", "999"} {
		for _, body := range []string{"", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 5\r\n\r\nwrong"} {
			t.Run(fmt.Sprintf("%s, %d bytes", status, len(body)), func(t *testing.T) {
				t.Parallel()
				ended := make(chan struct{})
				s := startTarget(t, func(_ int64, c net.Conn, _ *http.Request) bool {
					_, _ = fmt.Fprintf(c, "HTTP/1.1 %s X\r\nId: 1\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
					<-ended
					return false
				})
				defer close(ended)
				ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				defer cancel()
				response, err := newClient(t).Do(ctx, courier.Target{ID: "t", Address: s.address}, newRequest("1"))
				if err == nil {
					_ = response.Body.Close()
				}
				if !errors.Is(err, courier.ErrInvalid) {
					t.Errorf("response %v, error %v, want ErrInvalid", response, err)
				}
			})
		}
	}
}
