package dispatcher

import "net/http"

// capture keeps a copy of an answer up to captureLimit.
type capture struct {
	enabled, overflow bool
	headers           http.Header
	body              []byte
}

func (c *capture) header(from http.Header) {
	if !c.enabled {
		return
	}
	c.headers = make(http.Header)
	copySafe(c.headers, from, answerOnly)
}

func (c *capture) write(p []byte) {
	if !c.enabled || c.overflow {
		return
	}
	if len(c.body)+len(p) > captureLimit {
		c.overflow, c.body = true, nil
		return
	}
	c.body = append(c.body, p...)
}

func (c *capture) answer(status int) *Answer {
	if !c.enabled || c.overflow || c.headers == nil {
		return nil
	}
	return &Answer{Status: status, Header: c.headers, Body: c.body}
}
