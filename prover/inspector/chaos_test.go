package inspector_test

import (
	"context"
	"slices"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"monsoondeck.example/generator/chaos"
)

var _ = ginkgo.Describe("all invariants under a fixed schedule of faults", func() {
	ginkgo.It("guards against faults that only show in combination", func() {
		p := shared.fleet.Programs
		lines, err := chaos.Check(context.Background(), chaos.Options{
			Seed: 1, Duration: 20e9, Deployment: "smidsverbond", Routers: 4, Accounts: 6, Targets: 4, Daemon: p.Daemon, Emulator: p.Emulator,
		}, ginkgo.GinkgoWriter)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		// Only the chaos command itself checks the bounds on times.
		counted := []string{"wrong", "duplicated", "falseNotRun", "cutInFlight", "reverted", "doubleCommits"}
		seen := 0
		for _, l := range lines {
			if slices.Contains(counted, l.Measure) {
				seen++
				gomega.Expect(l.Value).To(gomega.BeZero(), l.Measure)
			}
			if l.Measure == "completed" {
				gomega.Expect(l.Value).To(gomega.BeNumerically(">", 0))
			}
		}
		gomega.Expect(seen).To(gomega.Equal(len(counted)))
	})
})
