package dispatcher

import "net/http"

// capture keeps a copy of a response whose body has at most captureLimit bytes.
type capture struct {
	enabled, tooLarge bool
	headers           http.Header
	body              []byte
}

func (c *capture) header(from http.Header) {
	if !c.enabled {
		return
	}
	c.headers = make(http.Header)
	copyPublicHeader(c.headers, from, withheldResponseHeaders)
}

func (c *capture) write(p []byte) {
	if !c.enabled || c.tooLarge {
		return
	}
	if len(c.body)+len(p) > captureLimit {
		c.tooLarge, c.body = true, nil
		return
	}
	c.body = append(c.body, p...)
}

func (c *capture) response(status int) *Response {
	if !c.enabled || c.tooLarge || c.headers == nil {
		return nil
	}
	return &Response{Status: status, Header: c.headers, Body: c.body}
}
