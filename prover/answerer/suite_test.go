package answerer_test

import (
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"monsoondeck.example/prover/driver"
)

func TestAnswerer(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "answers to callers (P3, P4)")
}

// suite holds the fleet that all specs share. Every spec ends its faults.
type suite struct{ fleet *driver.Fleet }

var shared suite

var _ = ginkgo.BeforeSuite(func() { shared.fleet = driver.Start(driver.Build(), "MONSOOND_LAME_DUCK=1s") })
