package receiver

import "monsoondeck.example/gateway/placer"

// versionLimit returns the limit to the software version that began the stream. There is
// none before the first event.
func (p *proxyRequest) versionLimit() placer.VersionLimit {
	if version := p.streamVersion.Load(); version != nil {
		return placer.OnlyVersion(*version)
	}
	return placer.VersionLimit{}
}
