package launcher

import (
	"context"
	"io"
	"os"
	"os/exec"
	"path/filepath"

	"github.com/cockroachdb/errors"
)

// Programs holds the paths of the programs of a fleet. Build fills empty paths.
type Programs struct {
	Daemon, Emulator string
}

// Names of the programs, which are also those of their directories below cmd.
const (
	daemonProgram   = "monsoond"
	emulatorProgram = "monsoonemu"
)

// Build builds the programs without a path into a temporary directory. The working
// directory must be within the repository. The clean-up function removes the
// temporary directory.
func Build(ctx context.Context, p Programs, log io.Writer) (Programs, func(), error) {
	directory, err := os.MkdirTemp("", "monsoon")
	if err != nil {
		return p, nil, errors.Mark(err, ErrStart)
	}
	cleanup := func() { _ = os.RemoveAll(directory) }
	for name, path := range map[string]*string{daemonProgram: &p.Daemon, emulatorProgram: &p.Emulator} {
		if *path != "" {
			continue
		}
		if *path, err = BuildProgram(ctx, directory, name, log); err != nil {
			cleanup()
			return p, nil, err
		}
	}
	return p, cleanup, nil
}

// BuildProgram builds one program of the repository into a directory and returns
// its path. Compiler output goes to log.
func BuildProgram(ctx context.Context, directory, name string, log io.Writer) (string, error) {
	path := filepath.Join(directory, name)
	c := exec.CommandContext(ctx, "go", "build", "-o", path, "monsoondeck.example/cmd/"+name)
	c.Stdout, c.Stderr = log, log
	return path, errors.Mark(errors.Wrapf(c.Run(), "build %s", name), ErrStart)
}
