package inspector_test

import (
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"monsoondeck.example/prover/driver"
)

func TestInspector(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "configuration and small accounts (P8, P2)")
}

// suite holds the fleet that all specs share. Every spec ends its faults.
type suite struct{ fleet *driver.Fleet }

var shared suite

var _ = ginkgo.BeforeSuite(func() { shared.fleet = driver.Start(driver.Build(), "MONSOOND_LAME_DUCK=1s") })
