package operator_test

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"monsoondeck.example/configurer"
	"monsoondeck.example/emulator/objects"
	"monsoondeck.example/emulator/table"
	"monsoondeck.example/logger"
	"monsoondeck.example/operator"
)

// fleet is an emulated platform on which tests run commands.
type fleet struct {
	t       *testing.T
	table   string
	objects string
	daemons []string
	// intercept is called before each request to the table service; it may respond to
	// the request or abort it.
	intercept func(w http.ResponseWriter, r *http.Request) (handled bool)
	// out and err are the output of the last command.
	out, err bytes.Buffer
}

func newFleet(t *testing.T) *fleet {
	f := &fleet{t: t, intercept: func(http.ResponseWriter, *http.Request) bool { return false }}
	rows := table.New(table.Settings{})
	tableServer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !f.intercept(w, r) {
			rows.ServeHTTP(w, r)
		}
	}))
	objectServer := httptest.NewServer(objects.New(objects.Settings{}))
	t.Cleanup(tableServer.Close)
	t.Cleanup(objectServer.Close)
	f.table, f.objects = tableServer.URL, objectServer.URL
	return f
}

// newConfiguredFleet returns a fleet whose version 1 is the Kitakaze example.
func newConfiguredFleet(t *testing.T) *fleet {
	f := newFleet(t)
	f.want(0, "haruka", "sheet", "apply", "../examples/kitakaze.csv")
	return f
}

// runAs runs a command as an operator with the operator's key from the examples.
func (f *fleet) runAs(name string, args ...string) int {
	return f.run(name, "example-key-"+name, args...)
}

func (f *fleet) run(name, key string, args ...string) int {
	f.out.Reset()
	f.err.Reset()
	return operator.Run(args, []string{
		"MONSOONDECK_TABLE_URL=" + f.table, "MONSOONDECK_OBJECTS_URL=" + f.objects, "MONSOONDECK_DAEMONS=" + strings.Join(f.daemons, ","),
		"MONSOONDECK_OPERATOR=" + name, "MONSOONDECK_OPERATOR_KEY=" + key,
	}, logger.Streams{In: strings.NewReader(""), Out: &f.out, Err: &f.err})
}

// want runs a command as an operator and checks its exit code and error text.
func (f *fleet) want(code int, name string, args ...string) {
	f.t.Helper()
	if got := f.runAs(name, args...); got != code {
		f.t.Fatalf("%s: %v ends with %d, want %d\n%s%s", name, args, got, code, f.out.String(), f.err.String())
	}
	if lines := strings.Split(strings.TrimSpace(f.err.String()), "\n"); code != 0 && len(lines) < 2 {
		f.t.Errorf("%v: an error needs a line that says what failed and one that says what to do, got %q", args, f.err.String())
	}
}

func (f *fleet) wantText(buffer *bytes.Buffer, parts ...string) {
	f.t.Helper()
	for _, p := range parts {
		if !strings.Contains(buffer.String(), p) {
			f.t.Errorf("no %q in\n%s", p, buffer.String())
		}
	}
}

// sheet exports the current configuration, replaces texts in it and returns the path
// of the sheet.
func (f *fleet) sheet(replacements ...string) string {
	f.t.Helper()
	f.want(0, "haruka", "sheet", "show", "--csv")
	path := filepath.Join(f.t.TempDir(), "sheet.csv")
	if err := os.WriteFile(path, []byte(strings.NewReplacer(replacements...).Replace(f.out.String())), 0o600); err != nil {
		f.t.Fatal(err)
	}
	return path
}

// version returns the last version in the history.
func (f *fleet) version() string {
	f.t.Helper()
	f.want(0, "haruka", "sheet", "history", "--limit", "1")
	version, _, _ := strings.Cut(f.out.String(), "\t")
	return version
}

// Guards against a first sheet that is applied by somebody who is not an editor in
// it, and against callers' keys that give access to operator commands.
func TestSignIn(t *testing.T) {
	f := newFleet(t)
	first := []string{"sheet", "apply", "../examples/kitakaze.csv"}
	if code := f.run("haruka", "", first...); code != 2 {
		t.Errorf("without a key: %d", code)
	}
	if code := f.run("haruka", "wrong", first...); code != 4 {
		t.Errorf("with a wrong key: %d", code)
	}
	f.want(4, "sora", first...) // may only read
	f.want(4, "lotte", first...)
	f.want(1, "haruka", "sheet", "show")
	f.want(0, "haruka", first...)
	f.want(0, "sora", "sheet", "show")
	f.want(4, "sora", "target", "drain", "quote-01")
	f.want(4, "sapporo-showroom", "sheet", "show")
	if code := f.run("haruka", "example-key-sapporo-showroom", "sheet", "show"); code != 4 {
		t.Errorf("with a caller's key: %d", code)
	}
	f.want(0, "haruka", "sheet", "history")
	f.wantText(&f.out, "sora\ttarget drain\trefused")
}

// Guards against a sheet with faults that is applied in part.
func TestFaultySheetChangesNothing(t *testing.T) {
	f := newConfiguredFleet(t)
	for _, path := range []string{f.sheet("quote-07", "Quote 07"), f.sheet("\nend", "\naccount"), f.sheet(",editor", ",boss")} {
		f.want(1, "haruka", "sheet", "check", path)
		f.want(1, "haruka", "sheet", "apply", path)
		f.wantText(&f.err, "nothing was changed")
	}
	if v := f.version(); v != "1" {
		t.Errorf("version %s", v)
	}
}

// Guards against applying a sheet of another fleet, and against new versions without
// any changed row.
func TestForeignAndRepeatedChanges(t *testing.T) {
	f := newConfiguredFleet(t)
	f.want(3, "haruka", "sheet", "apply", f.sheet(",1\n", ",9\n"))
	f.want(0, "haruka", "sheet", "apply", "../examples/kitakaze.csv")
	f.want(0, "haruka", "target", "drain", "quote-01")
	f.want(0, "haruka", "target", "drain", "quote-01")
	if v := f.version(); v != "2" {
		t.Errorf("version %s", v)
	}
}

// Guards against removed rows and undone changes that are applied without the
// operator confirming them by name.
func TestLossesNeedConfirmation(t *testing.T) {
	f := newConfiguredFleet(t)
	old := f.sheet()
	f.want(0, "ren", "target", "drain", "quote-01")
	f.want(3, "haruka", "sheet", "apply", old)
	f.wantText(&f.err, "by ren in version 2", "--confirm quote-01")
	f.want(2, "haruka", "sheet", "apply", old, "--confirm", "quote-01") // no terminal
	f.want(0, "haruka", "sheet", "apply", old, "--confirm", "quote-01", "--yes")

	isDealer := func(line string) bool { return strings.HasPrefix(line, "account,dealer-") }
	f.want(0, "haruka", "sheet", "show", "--csv")
	var remaining []string
	for line := range strings.Lines(f.out.String()) {
		if !isDealer(line) {
			remaining = append(remaining, line)
		}
	}
	path := filepath.Join(t.TempDir(), "few.csv")
	if err := os.WriteFile(path, []byte(strings.Join(remaining, "")), 0o600); err != nil {
		t.Fatal(err)
	}
	f.want(4, "haruka", "sheet", "apply", path, "--yes", "--confirm", "dealer-otaru")
	f.wantText(&f.err, "dealer-wakkanai")
	f.want(0, "haruka", "sheet", "show")
	if lines := strings.Count(f.out.String(), "\n"); lines != 16 {
		t.Errorf("%d accounts", lines)
	}
	f.want(0, "haruka", "sheet", "diff", path)
	f.wantText(&f.out, "remove\taccount\tdealer-otaru")
	f.want(0, "haruka", "sheet", "diff", path, "--losses", "--json", "id,loss")
	f.wantText(&f.out, `"id": "dealer-otaru"`, `"loss": "removed"`)
	f.want(0, "haruka", "sheet", "diff", path, "--losses")
	var names strings.Builder
	for line := range strings.Lines(f.out.String()) {
		id, _, _ := strings.Cut(line, "\t")
		names.WriteString(id + "\n")
	}
	list := filepath.Join(t.TempDir(), "names")
	if err := os.WriteFile(list, []byte(names.String()), 0o600); err != nil {
		t.Fatal(err)
	}
	f.want(2, "haruka", "sheet", "apply", path, "--confirm", "@"+list) // confirmed by name, but not by --yes
	f.wantText(&f.err, "there is no terminal")
	f.want(2, "haruka", "target", "drain", "orders-1", "orders-2", "orders-3")
	f.wantText(&f.err, "no active target in pool orders")
	f.want(2, "haruka", "account", "rotatekey", "dealer-otaru")
	if v := f.version(); v != "3" {
		t.Errorf("version %s", v)
	}
}

// Guards against two conflicting changes that are both reported as committed.
func TestLoserOfARaceIsTold(t *testing.T) {
	f := newConfiguredFleet(t)
	f.intercept = func(_ http.ResponseWriter, r *http.Request) bool {
		if r.Method == http.MethodPost {
			f.intercept = func(http.ResponseWriter, *http.Request) bool { return false }
			other := &fleet{t: t, table: f.table, objects: f.objects}
			other.want(0, "ren", "account", "addkey", "dealer-otaru")
		}
		return false
	}
	f.want(3, "haruka", "target", "drain", "quote-01")
	f.wantText(&f.err, "version 2 by ren", "put account dealer-otaru")
}

// Guards against a wrong exit code when the table service loses responses or is
// down.
func TestOutcomes(t *testing.T) {
	f := newConfiguredFleet(t)
	abort := func(http.ResponseWriter, *http.Request) bool { panic(http.ErrAbortHandler) }
	f.intercept = func(w http.ResponseWriter, r *http.Request) bool {
		return r.Method == http.MethodPost && abort(w, r)
	}
	f.want(5, "haruka", "target", "drain", "quote-01")
	f.want(5, "haruka", "account", "addkey", "dealer-otaru")
	if key := strings.TrimSpace(f.out.String()); len(key) != 48 {
		t.Errorf("a key that may be valid is not printed: %q", key)
	}
	f.intercept = func(w http.ResponseWriter, _ *http.Request) bool {
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	}
	f.want(1, "haruka", "target", "drain", "quote-01")
	f.wantText(&f.err, "nothing was changed")
}

// Guards against keys that are printed but not stored, or still stored after their
// removal.
func TestKeys(t *testing.T) {
	f := newConfiguredFleet(t)
	hashes := func() string {
		f.want(0, "haruka", "sheet", "show", "--json", "id,keyHashes")
		return f.out.String()
	}
	f.want(0, "haruka", "account", "addkey", "dealer-otaru")
	added := configurer.KeyHash(strings.TrimSpace(f.out.String()))
	old := configurer.KeyHash("example-key-dealer-otaru")
	if list := hashes(); !strings.Contains(list, added) || !strings.Contains(list, old) {
		t.Errorf("after addkey: %s", list)
	}
	f.want(2, "haruka", "account", "rotatekey", "dealer-otaru", "--yes", "--remove", "xyz")
	f.want(0, "haruka", "account", "rotatekey", "dealer-otaru", "--yes", "--remove", old[:12])
	rotated := configurer.KeyHash(strings.TrimSpace(f.out.String()))
	if list := hashes(); !strings.Contains(list, added) || !strings.Contains(list, rotated) || strings.Contains(list, old) {
		t.Errorf("after rotatekey: %s", list)
	}
	f.want(2, "haruka", "account", "addkey", "nobody")
}

// Guards against output that scripts cannot parse, and against commands with wrong
// arguments that have an effect.
func TestOutputAndUsage(t *testing.T) {
	f := newConfiguredFleet(t)
	f.want(0, "sora", "sheet", "show", "targets", "--json", "id,slots")
	var targets []struct {
		ID    string
		Slots int
	}
	if err := json.NewDecoder(&f.out).Decode(&targets); err != nil || len(targets) != 13 || targets[0].Slots != 16 {
		t.Errorf("targets %v, error %v", targets, err)
	}
	f.want(2, "haruka", "target", "drain", "quote-01", "--json", "idd")
	f.want(2, "haruka", "target", "drain", "quote-01", "quote-99")
	f.want(2, "haruka", "sheet", "show", "hosts")
	f.want(2, "haruka", "sheet", "apply", "missing.csv")
	f.want(2, "haruka", "sheet")
	f.want(2, "haruka", "sheet", "remove")
	f.want(2, "haruka", "target", "drain")
	f.want(2, "haruka", "fleet", "status")
	f.want(0, "haruka", "target", "drain", "--help")
	f.wantText(&f.out, "TARGET", "--yes")
	if v := f.version(); v != "1" {
		t.Errorf("version %s", v)
	}
	if code := operator.Run([]string{"sheet", "show"}, nil, logger.Streams{In: strings.NewReader(""), Out: io.Discard, Err: io.Discard}); code != 2 {
		t.Errorf("without settings: %d", code)
	}
}
