package exchanger

import (
	"time"

	"monsoondeck.example/gateway/versioner"
	"monsoondeck.example/messenger"
)

func encodeStreams(batches []versioner.Batch) []messenger.StreamBatch {
	var encoded []messenger.StreamBatch
	for _, b := range batches {
		m := messenger.StreamBatch{Service: b.Service, Version: b.Version, LeftMs: uint64(max(b.Left.Milliseconds(), 0)), Streams: make([]uint64, len(b.Streams))}
		for i, s := range b.Streams {
			m.Streams[i] = uint64(s)
		}
		encoded = append(encoded, m)
	}
	return encoded
}

func decodeStreams(encoded []messenger.StreamBatch) []versioner.Batch {
	var batches []versioner.Batch
	for _, m := range encoded {
		b := versioner.Batch{Origin: versioner.Origin{Service: m.Service, Version: m.Version}, Left: decodeAge(m.LeftMs), Streams: make([]versioner.Stream, len(m.Streams))}
		for i, s := range m.Streams {
			b.Streams[i] = versioner.Stream(s)
		}
		batches = append(batches, b)
	}
	return batches
}

// encodeHistory returns nil if the sender knows nothing of the versions in service.
func encodeHistory(h versioner.History) *messenger.VersionHistory {
	if h.Age <= 0 {
		return nil
	}
	m := &messenger.VersionHistory{AgeMs: uint64(h.Age.Milliseconds())}
	for _, s := range h.Sightings {
		m.Versions = append(m.Versions, messenger.VersionSighting{Service: s.Service, Version: s.Version, AgeMs: uint64(max(s.Age.Milliseconds(), 0))})
	}
	return m
}

func decodeHistory(m *messenger.VersionHistory) versioner.History {
	if m == nil {
		return versioner.History{}
	}
	h := versioner.History{Age: time.Duration(min(m.AgeMs, uint64(versioner.MaxStreamAge.Milliseconds()))) * time.Millisecond}
	for _, s := range m.Versions {
		h.Sightings = append(h.Sightings, versioner.Sighting{Origin: versioner.Origin{Service: s.Service, Version: s.Version}, Age: decodeAge(s.AgeMs)})
	}
	return h
}
