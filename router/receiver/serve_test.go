package receiver_test

import (
	"fmt"
	"io"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("serving", func() {
	It("forwards a service request with its path, query, method and body", func() {
		f := newFixture(nil, echoRequestID(func(w http.ResponseWriter, r *http.Request) {
			b, _ := io.ReadAll(r.Body)
			w.WriteHeader(201)
			fmt.Fprintf(w, "%s %s %s %s", r.Method, r.RequestURI, b, r.Header.Get("Monsoondeck-Account"))
		}))
		res, body := f.do("POST", "/services/orders/a%2Fb/c?d=e", "x", "Authorization", "Bearer secret")
		Expect(res.StatusCode).To(Equal(201))
		Expect(res.Header.Get("Monsoondeck-Outcome")).To(Equal("complete"))
		Expect(body).To(Equal("POST /a%2Fb/c?d=e x acme"))
	})
})
