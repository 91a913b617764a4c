package driver

import (
	"context"

	"os/exec"
	"path/filepath"

	"github.com/cockroachdb/errors"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"monsoondeck.example/configurer"
	"monsoondeck.example/emulator"
)

// CLI runs the operators' command-line tool against a fleet.
type CLI struct {
	fleet *Fleet
	path  string
}

// NewCLI builds monsoonctl and adds operators who may change the configuration.
func (f *Fleet) NewCLI(operators ...string) *CLI {
	ginkgo.GinkgoHelper()
	t := &CLI{fleet: f, path: filepath.Join(ginkgo.GinkgoT().TempDir(), "monsoonctl")}
	out, err := exec.Command("go", "build", "-o", t.path, "monsoondeck.example/cmd/monsoonctl").CombinedOutput()
	gomega.Expect(err).NotTo(gomega.HaveOccurred(), "%s", out)
	d := configurer.Delta{Author: "driver"}
	for _, name := range operators {
		d.PutOperators = append(d.PutOperators, configurer.Operator{Name: name, KeyHash: configurer.KeyHash(operatorKey(name)), Role: configurer.RoleEditor})
	}
	f.Change(d)
	return t
}

func operatorKey(name string) string { return "operator-key-of-" + name }

// Run runs a command as an operator and returns its exit code, or -1 if it could
// not be run.
func (t *CLI) Run(operator string, args ...string) int {
	ctx, cancel := context.WithTimeout(context.Background(), Timeout)
	defer cancel()
	c := exec.CommandContext(ctx, t.path, args...)
	c.Env = append(c.Environ(),
		"MONSOONDECK_TABLE_URL="+t.fleet.URL(emulator.KindTable, ""), "MONSOONDECK_OBJECTS_URL="+t.fleet.URL(emulator.KindObjects, ""),
		"MONSOONDECK_OPERATOR="+operator, "MONSOONDECK_OPERATOR_KEY="+operatorKey(operator))
	c.Stdout, c.Stderr = ginkgo.GinkgoWriter, ginkgo.GinkgoWriter
	err := c.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		return -1
	}
	return c.ProcessState.ExitCode()
}
