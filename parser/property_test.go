package parser_test

import (
	"bytes"
	"flag"
	"fmt"
	"io"
	"os"
	"runtime"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"monsoondeck.example/configurer"
	"monsoondeck.example/parser"
)

// TestMain fixes the seed so that every run gives the same result; -rapid.seed
// overrides it.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true", "rapid.shrinktime": "1s"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// recorder records the failure of a property instead of failing the test.
type recorder struct {
	testing.TB
	failed bool
}

func (r *recorder) Logf(string, ...any)   {}
func (r *recorder) Errorf(string, ...any) { r.failed = true }
func (r *recorder) Failed() bool          { return r.failed }
func (r *recorder) FailNow()              { r.failed = true; runtime.Goexit() }

// requireCaught fails the test if the property holds for a broken variant, which
// means that the property does not detect the fault.
func requireCaught(t *testing.T, property func(*rapid.T)) {
	t.Helper()
	r, done := &recorder{TB: t}, make(chan struct{})
	go func() {
		defer close(done)
		rapid.Check(r, property)
	}()
	<-done
	if !r.failed {
		t.Error("the property holds for the broken variant")
	}
}

func drawConfig(t *rapid.T) configurer.Config {
	pools := []string{"large", "small"}
	var accounts []configurer.Account
	targets := []configurer.Target{
		{ID: "t0", DataCentre: "d", Address: "127.0.0.1:80", Kind: configurer.KindEngine, Pools: pools, Slots: 4, State: configurer.StateActive},
	}
	for i := range 5 {
		if rapid.Bool().Draw(t, "account") {
			accounts = append(accounts, configurer.Account{
				ID: fmt.Sprintf("a%d", i), Name: rapid.SampledFrom([]string{"", "a;b", "c,\"d\"", "Liège"}).Draw(t, "name"),
				Share:      rapid.Float64Range(0.001, 1e6).Draw(t, "share"),
				KeyHashes:  []string{configurer.KeyHash(fmt.Sprint(i, rapid.IntRange(0, 2).Draw(t, "key")))},
				Pools:      rapid.SliceOfNDistinct(rapid.SampledFrom(pools), 1, 2, rapid.ID).Draw(t, "pools"),
				QueueLimit: rapid.IntRange(0, 3).Draw(t, "limit"),
			})
		}
		if rapid.Bool().Draw(t, "target") {
			targets = append(targets, configurer.Target{
				ID: fmt.Sprintf("s%d", i), DataCentre: "d", Address: fmt.Sprintf("[::1]:%d", i+1), Kind: configurer.KindService, Pools: []string{"orders"},
				Slots: rapid.IntRange(1, 9).Draw(t, "slots"), Incarnation: rapid.Uint64Range(0, 2).Draw(t, "incarnation"),
				State: rapid.SampledFrom([]configurer.State{configurer.StateActive, configurer.StateDraining}).Draw(t, "state"),
			})
		}
	}
	c, err := configurer.New(rapid.Uint64Range(1, 99).Draw(t, "version"), accounts, targets,
		[]configurer.Operator{{Name: "mei", KeyHash: configurer.KeyHash("mei"), Role: configurer.RoleEditor}})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// written returns the configuration as a sheet.
func written(t rapid.TB, c configurer.Config) string {
	var text bytes.Buffer
	if err := parser.Write(&text, c); err != nil {
		t.Fatal(err)
	}
	return text.String()
}

// applier returns the delta from a configuration to a sheet.
type applier func(parser.Sheet, configurer.Config) configurer.Delta

// applyProperty checks that a written sheet parses to the same configuration, and
// that applying it turns any other configuration into that one.
func applyProperty(apply applier) func(*rapid.T) {
	return func(t *rapid.T) {
		want, from := drawConfig(t), drawConfig(t)
		sheet, err := parser.Parse(strings.NewReader(written(t, want)))
		if err != nil {
			t.Fatal(err)
		}
		if sheet.Base() != want.Version() || sheet.Config().Digest() != want.Digest() {
			t.Fatalf("the sheet is parsed as\n%s, want\n%s", written(t, sheet.Config()), written(t, want))
		}
		d := apply(sheet, from)
		d.Version = d.Base + 1
		got, err := from.WithDelta(d)
		if err != nil {
			t.Fatal(err)
		}
		if got.Digest() != want.Digest() {
			t.Fatalf("configuration after applying the sheet\n%s, want\n%s", written(t, got), written(t, want))
		}
	}
}

// Guards against a configuration that differs from the sheet that was applied.
func TestApplyGivesTheSheet(t *testing.T) {
	rapid.Check(t, applyProperty(func(s parser.Sheet, c configurer.Config) configurer.Delta { d, _ := s.Apply(c); return d }))
	requireCaught(t, applyProperty(func(s parser.Sheet, c configurer.Config) configurer.Delta {
		d, _ := s.Apply(c)
		d.RemoveTargets = nil
		return d
	}))
}

// faultyProperty checks that a sheet that is truncated, or that has a damaged
// cell, is rejected as a whole.
func faultyProperty(parse func(io.Reader) (parser.Sheet, error)) func(*rapid.T) {
	return func(t *rapid.T) {
		text := written(t, drawConfig(t))
		end := strings.LastIndex(text, "end")
		switch rapid.IntRange(0, 2).Draw(t, "damage") {
		case 0:
			text = text[:rapid.IntRange(0, end+2).Draw(t, "length")]
		case 1: // truncated between rows, so that every remaining row is complete
			rows := strings.SplitAfter(text[:end], "\n")
			text = strings.Join(rows[:rapid.IntRange(0, len(rows)).Draw(t, "rows")], "")
		default:
			column := rapid.SampledFrom([]string{",engine,", ",editor", "\naccount,", "\ntarget,", ",large", ":80,"}).Draw(t, "cell")
			if !strings.Contains(text, column) {
				return
			}
			text = strings.Replace(text, column, column[:1]+"?#"+column[1:], 1)
		}
		sheet, err := parse(strings.NewReader(text))
		if !errors.Is(err, parser.ErrFaulty) || sheet.Config().Version() != 0 || sheet.Config().TargetCount() != 0 {
			t.Fatalf("a damaged sheet gives error %v:\n%s", err, text)
		}
	}
}

// Guards against a truncated or damaged sheet that is applied in part.
func TestFaultySheetIsRefused(t *testing.T) {
	rapid.Check(t, faultyProperty(parser.Parse))
	requireCaught(t, faultyProperty(func(r io.Reader) (parser.Sheet, error) {
		return parser.Parse(io.MultiReader(r, strings.NewReader("\nend\n"))) // accepts a sheet without its end row
	}))
}

// Guards against panics, and against a configuration that changes when it is
// exported and parsed again.
func FuzzParse(f *testing.F) {
	f.Add(valid())
	f.Add("\ufeff" + strings.ReplaceAll(valid(), "\n", "\r\n"))
	f.Add(strings.ReplaceAll(valid(), ",", ";"))
	f.Add(valid()[:200])
	for _, name := range []string{"kitakaze", "smidsverbond"} {
		text, err := os.ReadFile("../examples/" + name + ".csv")
		if err != nil {
			f.Fatal(err)
		}
		f.Add(string(text))
	}
	f.Fuzz(func(t *testing.T, text string) {
		sheet, err := parser.Parse(strings.NewReader(text))
		if err != nil {
			if !errors.Is(err, parser.ErrFaulty) {
				t.Fatalf("error %v", err)
			}
			return
		}
		again, err := parser.Parse(strings.NewReader(written(t, sheet.Config())))
		if err != nil || again.Config().Digest() != sheet.Config().Digest() {
			t.Fatalf("error %v, or a different configuration, from the export of\n%s", err, text)
		}
	})
}

func BenchmarkFullSize(b *testing.B) {
	var accounts []configurer.Account
	var targets []configurer.Target
	for i := range 19_000 {
		accounts = append(accounts, configurer.Account{
			ID: fmt.Sprintf("account-%05d", i), Name: fmt.Sprintf("Client account %d", i), Share: 1 + float64(i%7),
			KeyHashes: []string{configurer.KeyHash(fmt.Sprint(i))}, Pools: []string{"model-01", "model-02"}, QueueLimit: 64})
	}
	for i := range 3_300 {
		targets = append(targets, configurer.Target{
			ID: fmt.Sprintf("target-%04d", i), DataCentre: "dc-1", Address: fmt.Sprintf("10.0.%d.%d:8000", i/250, i%250),
			Kind: configurer.KindEngine, Pools: []string{fmt.Sprintf("model-%02d", i%16)}, Slots: 32, State: configurer.StateActive})
	}
	c, err := configurer.New(1, accounts, targets, []configurer.Operator{{Name: "mei", KeyHash: configurer.KeyHash("mei"), Role: configurer.RoleEditor}})
	if err != nil {
		b.Fatal(err)
	}
	text := written(b, c)
	b.Run("parse", func(b *testing.B) {
		for b.Loop() {
			if _, err := parser.Parse(strings.NewReader(text)); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(len(text)), "bytes")
	})
	sheet, err := parser.Parse(strings.NewReader(text))
	if err != nil {
		b.Fatal(err)
	}
	b.Run("apply", func(b *testing.B) {
		for b.Loop() {
			if d, _ := sheet.Apply(c); d.Rows() > 0 {
				b.Fatal("rows differ")
			}
		}
	})
}
