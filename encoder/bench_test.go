package encoder

import (
	"fmt"
	"testing"

	"monsoondeck.example/messenger"
)

const benchEntries = 100

// sampleFrames returns, by the kind of their entries, frames with benchEntries entries
// of one kind and values of typical length.
func sampleFrames() map[string]messenger.Frame {
	const shard, epoch = "llama-70b/sapporo-1/3", 1<<62 + 12345
	account := func(i int) string { return fmt.Sprintf("dealer-%05d", i) }
	target := func(i int) string { return fmt.Sprintf("engine-%04d", i) }
	header := messenger.Frame{Version: Version, Sender: "daemon-017", Incarnation: 1<<62 + 12345, Sequence: 123456}
	demand, grants, settlements, holdings, report, probe := header, header, header, header, header, header
	d := messenger.Demand{Shard: shard, Epoch: epoch}
	g := messenger.Grants{Shard: shard, Epoch: epoch}
	s := messenger.Settlements{Shard: shard, Epoch: epoch}
	h := messenger.Holdings{Shard: shard, Epoch: epoch}
	r := messenger.ServiceReport{Pool: "llama-70b", Group: 7, Shard: shard, Epoch: epoch}
	u := messenger.Probe{Nonce: 1 << 30, Subject: "daemon-018", ConfigVersion: 6400, Digest: 1 << 31}
	for i := range benchEntries {
		id := uint64(100_000 + i)
		d.Entries = append(d.Entries, messenger.DemandEntry{Account: account(i), Waiting: 3, EstimateTenths: 2134, Seen: id, Affinity: 1 << 60})
		g.Entries = append(g.Entries, messenger.Grant{ID: id, Account: account(i), Target: target(i)})
		s.Entries = append(s.Entries, messenger.Settlement{ID: id, CostTenths: 1870, Result: 1, FirstTokenMs: 312, IntervalUs: 31700})
		h.Entries = append(h.Entries, messenger.Holding{ID: id, Account: account(i), Target: target(i), CostTenths: 1200})
		r.Entries = append(r.Entries, messenger.ServiceEntry{Account: account(i), Cumulative: 123456.5, Included: 120000, Known: 3456789})
		u.Updates = append(u.Updates, messenger.MemberUpdate{ID: "daemon-018", Address: "10.20.30.40:7000", DataCentre: "sapporo-1", Incarnation: 1<<62 + 12345})
	}
	demand.Demands, grants.Grants = []messenger.Demand{d}, []messenger.Grants{g}
	settlements.Settlements, holdings.Holdings = []messenger.Settlements{s}, []messenger.Holdings{h}
	report.ServiceReports, probe.Probes = []messenger.ServiceReport{r}, []messenger.Probe{u}
	return map[string]messenger.Frame{"demand": demand, "grant": grants, "settlement": settlements,
		"holding": holdings, "service": report, "update": probe}
}

// sampleProbe returns a frame with a probe that carries one membership update.
func sampleProbe() messenger.Frame {
	f := sampleFrames()["update"]
	f.Probes[0].Updates = f.Probes[0].Updates[:1]
	return f
}

// BenchmarkCodec measures the time and the encoded bytes per entry of each kind, and
// of a frame with one probe.
func BenchmarkCodec(b *testing.B) {
	e, err := New()
	if err != nil {
		b.Fatal(err)
	}
	for name, f := range sampleFrames() {
		benchmarkFrame(b, e, name, f, benchEntries)
	}
	benchmarkFrame(b, e, "probe", sampleProbe(), 1)
}

func benchmarkFrame(b *testing.B, e *Encoder, name string, f messenger.Frame, entries float64) {
	encoded, err := e.Encode(f)
	if err != nil {
		b.Fatal(err)
	}
	for _, c := range []struct {
		name string
		run  func() error
	}{
		{"encode", func() error { _, err := e.Encode(f); return err }},
		{"decode", func() error { _, err := e.Decode(encoded); return err }},
	} {
		b.Run(name+"/"+c.name, func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				if err := c.run(); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(encoded))/entries, "bytes/entry")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/entries, "ns/entry")
		})
	}
}
