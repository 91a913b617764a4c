package claimer_test

import (
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"monsoondeck.example/prover/driver"
)

func TestClaimer(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "at most one run (P5)")
}

// suite holds the fleet that all specs share. Every spec ends its faults.
type suite struct{ fleet *driver.Fleet }

var shared suite

var _ = ginkgo.BeforeSuite(func() { shared.fleet = driver.Start(driver.Build(), "MONSOOND_LAME_DUCK=1s") })
