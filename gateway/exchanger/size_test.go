package exchanger

import (
	"fmt"
	"testing"
	"time"

	"monsoondeck.example/encoder"
	"monsoondeck.example/gateway/controller"
	"monsoondeck.example/gateway/grouper"
	"monsoondeck.example/gateway/placer"
	"monsoondeck.example/gateway/sharer"
	"monsoondeck.example/messenger"
)

// BenchmarkReport measures the encoded size of the sum of a group, by the number of
// targets at which the group has work.
func BenchmarkReport(b *testing.B) {
	for _, targets := range []int{10, 90, 330} {
		r := controller.Report{Whole: true, Config: controller.ConfigState{Version: 17, Confirmed: true, Age: time.Second}, Group: grouper.Group("sapporo-a")}
		for i := range targets {
			r.Loads = append(r.Loads, placer.Load{Target: placer.KeyOf(fmt.Sprintf("i-7f3a%04d", i)), PrefillTokens: float64(900 * i), Running: 3, MemoryTokens: float64(40000 + i)})
		}
		for i := range 30 {
			r.Accounts = append(r.Accounts, sharer.Total{Account: fmt.Sprintf("hule%03d", i), Demand: 1e8, Served: 9e7})
			r.Recent = append(r.Recent, sharer.Total{Account: fmt.Sprintf("hule%03d", i), Demand: 1e6, Served: 9e5})
		}
		for i := range 18 {
			r.Daemons = append(r.Daemons, controller.Daemon{ID: fmt.Sprintf("frontend-sapporo-a-%d", i)})
		}
		b.Run(fmt.Sprint(targets), func(b *testing.B) {
			e, err := encoder.New()
			if err != nil {
				b.Fatal(err)
			}
			size := 0
			for b.Loop() {
				encoded, err := e.Encode(messenger.Frame{WorkReports: []messenger.WorkReport{encodeReport(r)}})
				if err != nil {
					b.Fatal(err)
				}
				size = len(encoded)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}
