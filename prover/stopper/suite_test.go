package stopper_test

import (
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"monsoondeck.example/prover/driver"
)

func TestStopper(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "leaving targets and planned stops (P6, P7)")
}

// suite holds the fleet that all specs share. Every spec ends its faults.
type suite struct{ fleet *driver.Fleet }

var shared suite

// The lame-duck time is well above the idle timeout of the load's connections.
var _ = ginkgo.BeforeSuite(func() { shared.fleet = driver.Start(driver.Build(), "MONSOOND_LAME_DUCK=6s") })
