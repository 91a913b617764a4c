// Package report turns the lines of bench into one HTML page with plots.
package report

import (
	"bufio"
	"encoding/json"
	"io"
	"os"

	"github.com/cockroachdb/errors"

	"monsoondeck.example/commander"
	"monsoondeck.example/generator/bench"
	"monsoondeck.example/logger"
)

// ErrInput marks input that cannot be read or holds lines that are not measures.
var ErrInput = errors.New("input is not the output of bench")

// Options are the flags of the report command.
type Options struct {
	Files []string `arg:"positional" placeholder:"FILE" help:"output of bench [default: standard input]"`
	Out   string   `arg:"--out" placeholder:"FILE" help:"page to write [default: standard output]"`
}

// Description is the first line of the usage text.
func (Options) Description() string {
	return "report makes an HTML page with one plot per deployment and measure from the lines of bench. Bars are means over seeds."
}

// Run runs the report command and returns the exit code.
func Run(args, _ []string, streams logger.Streams) int {
	c := commander.Command{Name: "monsoonload report", Streams: streams}
	var o Options
	if code, ok := c.Parse(args, &o); !ok {
		return code
	}
	lines, err := o.read(streams.In)
	if err != nil {
		return c.Fail(commander.ExitFailed, err)
	}
	if err := o.write(streams.Out, lines); err != nil {
		return c.Fail(commander.ExitFailed, err)
	}
	return commander.ExitDone
}

func (o Options) read(in io.Reader) ([]bench.Line, error) {
	if len(o.Files) == 0 {
		return parse(in)
	}
	var all []bench.Line
	for _, name := range o.Files {
		f, err := os.Open(name)
		if err != nil {
			return nil, errors.Mark(err, ErrInput)
		}
		lines, err := parse(f)
		_ = f.Close() // nothing was written, so an error does not matter
		if err != nil {
			return nil, errors.Wrap(err, name)
		}
		all = append(all, lines...)
	}
	return all, nil
}

func parse(in io.Reader) ([]bench.Line, error) {
	var out []bench.Line
	s := bufio.NewScanner(in)
	for n := 1; s.Scan(); n++ {
		if len(s.Bytes()) == 0 {
			continue
		}
		var l bench.Line
		if err := json.Unmarshal(s.Bytes(), &l); err != nil || l.Measure == "" {
			return nil, errors.Wrapf(ErrInput, "line %d: %.100q", n, s.Bytes())
		}
		out = append(out, l)
	}
	if err := s.Err(); err != nil {
		return nil, errors.Mark(err, ErrInput)
	}
	if len(out) == 0 {
		return nil, errors.Wrap(ErrInput, "no lines")
	}
	return out, nil
}

func (o Options) write(out io.Writer, lines []bench.Line) error {
	if o.Out == "" {
		return Write(out, lines)
	}
	f, err := os.Create(o.Out)
	if err != nil {
		return errors.Wrap(err, "create the page")
	}
	return errors.CombineErrors(Write(f, lines), f.Close())
}
