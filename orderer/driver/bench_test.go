package driver_test

import (
	"fmt"
	"testing"
	"time"

	"monsoondeck.example/emulator/weights"
	"monsoondeck.example/orderer/driver"
)

// BenchmarkRestart measures the time until 10 engines have 4 models each, the
// writes per order and the orders per load, under a weight store that allows 20
// loads per second.
func BenchmarkRestart(b *testing.B) {
	for _, owners := range []int{1, 2, 4} {
		for _, ignore := range []bool{false, true} {
			b.Run(fmt.Sprintf("owners=%d/ignoring=%v", owners, ignore), func(b *testing.B) {
				for range b.N {
					measureRestart(b, owners, ignore)
				}
			})
		}
	}
}

func measureRestart(b *testing.B, owners int, ignore bool) {
	const limit, loads = 20, 40
	f, cleanup, err := newFleet(10, ignore, []string{"a", "b", "c", "d"}, weights.Settings{LoadsPerSecond: limit, LoadTime: 200 * time.Millisecond})
	if err != nil {
		b.Fatal(err)
	}
	defer cleanup()
	start := time.Now()
	var drivers []*driver.Driver
	for rank := range owners {
		d, _, stop := f.startDriver(rank, owners, limit)
		defer stop()
		drivers = append(drivers, d)
	}
	for !f.loaded(4) {
		time.Sleep(5 * time.Millisecond)
	}
	elapsed := time.Since(start)
	var sum driver.Stats
	for _, d := range drivers {
		s := d.Stats()
		sum.Orders, sum.RowReads, sum.StateReads = sum.Orders+s.Orders, sum.RowReads+s.RowReads, sum.StateReads+s.StateReads
	}
	b.ReportMetric(elapsed.Seconds(), "s/restart")
	b.ReportMetric(float64(f.set.Table.Stats().Writes)/loads, "writes/load")
	b.ReportMetric(float64(sum.Orders)/loads, "orders/load")
	b.ReportMetric(float64(sum.RowReads)/loads, "rowReads/load")
	b.ReportMetric(float64(sum.StateReads)/10, "stateReads/engine")
}
