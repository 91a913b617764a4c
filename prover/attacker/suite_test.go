package attacker_test

import (
	"context"
	"os"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"monsoondeck.example/generator/launcher"
)

func TestAttacker(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "hostile clients and faulty targets")
}

// suite holds what all specs share.
type suite struct {
	// program is the path of the daemon under test.
	program string
	starter *launcher.Starter
}

var shared suite

var _ = ginkgo.BeforeSuite(func() {
	directory, err := os.MkdirTemp("", "monsoonattacker")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(func() { _ = os.RemoveAll(directory) }) // a temporary directory
	shared.program, err = launcher.BuildProgram(context.Background(), directory, "monsoongate", ginkgo.GinkgoWriter)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	shared.starter = launcher.NewStarter()
	ginkgo.DeferCleanup(shared.starter.Close)
})
