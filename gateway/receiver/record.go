package receiver

import (
	"log/slog"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"monsoondeck.example/gateway/placer"
	"monsoondeck.example/gateway/quarantiner"
	"monsoondeck.example/gateway/queuer"
	"monsoondeck.example/logger"
)

// recordEnd reports the end of the request to metrics and log. Status 0 means that no
// response was sent.
func (p *proxyRequest) recordEnd(outcome string, status int) {
	total := time.Since(p.arrived)
	resumption := p.resumption(outcome)
	p.receiver.Observe(Observation{Route: p.route.Name, Outcome: outcome, FirstByte: p.firstByte, Total: total, Resumption: resumption})
	var longestPause time.Duration
	if p.stream != nil {
		longestPause = p.stream.pauseUntil(time.Now())
	}
	attrs := []slog.Attr{slog.String("outcome", outcome), slog.Int("status", status), slog.Int("attempts", p.attempts),
		slog.Duration("firstByte", p.firstByte), slog.Duration("longestPause", longestPause), slog.Duration("total", total)}
	if p.limit.Limited {
		attrs = append(attrs, slog.Float64("targetLimit", p.limit.PerSecond))
	}
	if resumption != "" {
		attrs = append(attrs, slog.String("resumption", string(resumption)), slog.String("resumes", p.info.Resumes), slog.Bool("remembered", p.remembered), slog.String("softwareVersion", p.versionLimit().Version()))
	}
	p.log(logger.RequestEnded, attrs...)
}

// recordFirstByte records that a response of a target begins.
func (p *proxyRequest) recordFirstByte(status int) {
	p.firstByte = time.Since(p.arrived)
	if status < http.StatusMultipleChoices {
		p.receiver.Tally.Began(p.sharingAccount(), p.cost())
	}
}

// sharingAccount returns the account whose share the request counts towards; empty if it
// counts towards none.
func (p *proxyRequest) sharingAccount() string {
	if p.engine == nil {
		return ""
	}
	return p.account
}

// cost returns the cost of the request at a model engine in tokens; 0 at a plain service.
func (p *proxyRequest) cost() float64 {
	if p.engine == nil {
		return 0
	}
	return placer.Request{PromptTokens: p.info.PromptTokens, OutputTokens: p.outputTokens()}.Cost()
}

// standingAttrs returns the cost of the request at a model engine and the standing of its
// account at the decision, so that what accounts asked for and got can be added up from the
// log.
func (p *proxyRequest) standingAttrs(s queuer.Standing) []slog.Attr {
	if p.engine == nil {
		return nil
	}
	attrs := []slog.Attr{slog.Float64("cost", p.cost())}
	if s.Share > 0 && !math.IsInf(s.Share, 1) {
		attrs = append(attrs, slog.Float64("served", s.Served), slog.Float64("share", s.Share), slog.Bool("overShare", s.OverShare), slog.Float64("spareWeight", s.SpareWeight))
	}
	return attrs
}

// formatParts returns the parts of the prompt in order, as they are named in the records
// of the quarantine, so that requests with a part in common can be found in the log.
func (p *proxyRequest) formatParts() string {
	var b strings.Builder
	for i, part := range p.info.Parts {
		if i > 0 {
			b.WriteByte(' ')
		}
		b.WriteString(strconv.FormatUint(uint64(quarantiner.PartOf(p.service, part.ID)), 16))
	}
	return b.String()
}

// formatFingerprint returns the fingerprint of the request at its service, as it is named
// in the records of the quarantine.
func (p *proxyRequest) formatFingerprint() string {
	return strconv.FormatUint(uint64(quarantiner.PartOf(p.service, p.fingerprint)), 16)
}

// log logs an event of the request.
func (p *proxyRequest) log(e logger.Event, attrs ...slog.Attr) {
	attrs = append([]slog.Attr{
		slog.String("request", p.info.ID), slog.String("route", p.route.Name), slog.String("account", p.account),
		slog.Uint64("configVersion", p.version),
	}, attrs...)
	logger.Emit(p.receiver.Logger, e, attrs...)
}
