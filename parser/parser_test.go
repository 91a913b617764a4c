package parser_test

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"monsoondeck.example/configurer"
	"monsoondeck.example/parser"
)

const header = "kind,id,name,share,pools,queueLimit,keyHashes,dataCentre,address,targetKind,slots,state,incarnation,role,baseVersion\n"

var (
	hashA = configurer.KeyHash("a")
	hashO = configurer.KeyHash("o")
)

// valid returns a sheet without faults, whose rows 2 to 6 follow the header.
func valid() string {
	return header +
		"sheet,,,,,,,,,,,,,,7\n" +
		"operator,mei,,,,," + hashO + ",,,,,,,editor,\n" +
		"account,a1,Account,\"2,5\",large,64," + hashA + ",,,,,,,,\n" +
		"target,t1,,,large,,,dc1,127.0.0.1:8000,engine,8,active,,,\n" +
		"end,,,,,,,,,,,,,,\n"
}

// Guards against exports of common spreadsheet programs that are rejected or
// misread.
func TestParseAcceptsExports(t *testing.T) {
	semicolons := strings.ReplaceAll(strings.ReplaceAll(strings.ReplaceAll(valid(), "\"2,5\"", "2#5"), ",", ";"), "#", ",")
	if sheet, err := parser.Parse(strings.NewReader(strings.ReplaceAll(valid(), "2,5", "0,125"))); err != nil || firstAccount(sheet).Share != 0.125 {
		t.Errorf("share 0,125, whose separator cannot be for thousands: %v", err)
	}
	for name, text := range map[string]string{
		"plain":                      valid(),
		"byte-order mark and CRLF":   "\ufeff" + strings.ReplaceAll(valid(), "\n", "\r\n"),
		"semicolons, decimal comma":  semicolons,
		"tabs":                       strings.ReplaceAll(semicolons, ";", "\t"),
		"decimal point":              strings.ReplaceAll(valid(), "\"2,5\"", "2.5"),
		"empty rows and columns":     strings.ReplaceAll(valid(), "\n", ",,\n,,,,\n\n") + ",,,\n\n",
		"quoted cells and spaces":    strings.ReplaceAll(strings.ReplaceAll(valid(), "large", "\" large \""), "Account", "\"Account\""),
		"no newline at the end":      strings.TrimSuffix(valid(), ",,,,,,,,,,,,,,\n"),
		"default state and no limit": strings.ReplaceAll(valid(), "active", ""),
	} {
		sheet, err := parser.Parse(strings.NewReader(text))
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		account, _ := sheet.Config().AccountByKeyHash(hashA)
		if account.Share != 2.5 || account.Name != "Account" || !account.MayUse("large") || sheet.Base() != 7 {
			t.Errorf("%s: base %d, account %+v", name, sheet.Base(), account)
		}
		if pool := sheet.Config().Pool("large"); len(pool) != 1 || pool[0].State != configurer.StateActive {
			t.Errorf("%s: pool %+v", name, pool)
		}
	}
}

func firstAccount(s parser.Sheet) configurer.Account {
	for a := range s.Config().Accounts() {
		return a
	}
	return configurer.Account{}
}

// Guards against faults that are missed, or reported in the wrong row or column.
func TestParseReportsFaults(t *testing.T) {
	edit := func(old, replacement string) string {
		if !strings.Contains(valid(), old) {
			t.Fatalf("the valid sheet does not contain %q", old)
		}
		return strings.Replace(valid(), old, replacement, 1)
	}
	for name, tc := range map[string]struct {
		text   string
		row    int
		column string
	}{
		"empty":                   {"", 0, ""},
		"truncated":               {valid()[:strings.Index(valid(), "end")], 6, "kind"},
		"rows after the end":      {valid() + "account,a2\n", 7, "kind"},
		"UTF-16":                  {"\xff\xfek\x00", 0, ""},
		"not UTF-8":               {edit("Account", "Li\xe8ge"), 4, ""},
		"open quote":              {edit("Account", "\"Account"), 4, ""},
		"unknown column":          {edit("queueLimit", "QueueLimit"), 1, "QueueLimit"},
		"missing column":          {edit("share", ""), 1, "share"},
		"column twice":            {edit("name", "id"), 1, "id"},
		"unknown kind":            {edit("account,", "acount,"), 4, "kind"},
		"empty cell":              {edit("\"2,5\"", ""), 4, "share"},
		"cell of another kind":    {edit("account,a1,Account,\"2,5\",large,64,"+hashA+",", "account,a1,Account,\"2,5\",large,64,"+hashA+",dc1"), 4, "dataCentre"},
		"cell without column":     {edit("editor,", "editor,,x"), 3, "number 16"},
		"thousands separator":     {edit("\"2,5\"", "1.000"), 4, "share"},
		"share zero":              {edit("\"2,5\"", "0"), 4, "share"},
		"share negative":          {edit("\"2,5\"", "-1"), 4, "share"},
		"share not a number":      {edit("\"2,5\"", "NaN"), 4, "share"},
		"share with exponent":     {edit("\"2,5\"", "1e3"), 4, "share"},
		"share of two separators": {edit("\"2,5\"", "1.000.5"), 4, "share"},
		"ID with capitals":        {edit("a1", "A1"), 4, "id"},
		"short hash":              {edit(hashA, hashA[1:]), 4, "keyHashes"},
		"hash twice":              {edit(hashA, hashA+" "+hashA), 4, "keyHashes"},
		"key of an operator":      {edit(hashA, hashO), 3, "keyHashes"},
		"two keys of an operator": {edit(hashO, hashO+" "+configurer.KeyHash("p")), 3, "keyHashes"},
		"host name":               {edit("127.0.0.1", "localhost"), 5, "address"},
		"port 0":                  {edit(":8000", ":0"), 5, "address"},
		"no slots":                {edit(",8,", ",0,"), 5, "slots"},
		"unknown state":           {edit("active", "gone"), 5, "state"},
		"unknown target kind":     {edit("engine", "model"), 5, "targetKind"},
		"pool without target":     {edit("\"2,5\",large", "\"2,5\",lrge"), 4, "pools"},
		"negative limit":          {edit(",64,", ",-1,"), 4, "queueLimit"},
		"no sheet row":            {edit("sheet,,,,,,,,,,,,,,7\n", ""), 0, "kind"},
		"two sheet rows":          {edit("sheet,", "sheet,,,,,,,,,,,,,,7\nsheet,"), 3, "kind"},
		"no editor":               {edit("editor", "viewer"), 0, "role"},
		"account twice":           {edit("end,", "account,a1,,1,large\nend,"), 6, "id"},
		"address twice":           {edit("end,", "target,t2,,,large,,,dc1,127.0.0.1:8000,engine,8\nend,"), 6, "address"},
		"pool of both kinds":      {edit("end,", "target,t2,,,large,,,dc1,127.0.0.1:8001,service,8\nend,"), 6, "targetKind"},
	} {
		sheet, err := parser.Parse(strings.NewReader(tc.text))
		var faults *parser.Faults
		if !errors.As(err, &faults) || !errors.Is(err, parser.ErrFaulty) || sheet.Config().Version() != 0 {
			t.Errorf("%s: error %v", name, err)
			continue
		}
		if f := faults.List[0]; len(faults.List) != 1 || f.Row != tc.row || f.Column != tc.column || f.Found == "" || f.Allowed == "" {
			t.Errorf("%s: want one fault in row %d, column %q, got\n%v", name, tc.row, tc.column, err)
		}
	}
	_, err := parser.Parse(strings.NewReader(strings.NewReplacer("\"2,5\"", "x", "active", "gone", "editor", "boss").Replace(valid())))
	if lines := strings.Split(fmt.Sprint(err), "\n"); len(lines) != 4 { // the fourth fault: no editor
		t.Errorf("want every fault in one message, got\n%v", err)
	}
}

// Guards against example sheets that have faults or lack the documented keys.
func TestExamples(t *testing.T) {
	for name, want := range map[string]struct {
		engines, services int
		key               string
	}{"kitakaze": {10, 3, "sapporo-showroom"}, "smidsverbond": {10, 4, "forge-gent"}} {
		file, err := os.Open("../examples/" + name + ".csv")
		if err != nil {
			t.Fatal(err)
		}
		sheet, err := parser.Parse(file)
		_ = file.Close()
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		count := map[configurer.Kind]int{}
		for target := range sheet.Config().Targets() {
			count[target.Kind]++
		}
		account, _ := sheet.Config().AccountByKeyHash(configurer.KeyHash("example-key-" + want.key))
		if account.ID != want.key || sheet.Config().AccountCount() != 16 ||
			count[configurer.KindEngine] != want.engines || count[configurer.KindService] != want.services {
			t.Errorf("%s: account %q, %d accounts, targets %v", name, account.ID, sheet.Config().AccountCount(), count)
		}
	}
}

// Guards against removed rows and undone changes that are applied without the
// operator confirming them by name.
func TestLosses(t *testing.T) {
	sheet, err := parser.Parse(strings.NewReader(valid()))
	if err != nil {
		t.Fatal(err)
	}
	config := func(accounts int) configurer.Config {
		targets, operators := slices.Collect(sheet.Config().Targets()), slices.Collect(sheet.Config().Operators())
		list := slices.Collect(sheet.Config().Accounts())
		for i := range accounts - 1 {
			list = append(list, configurer.Account{ID: fmt.Sprintf("x%d", i), Share: 1})
		}
		c, err := configurer.New(7, list, targets, operators)
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	if _, losses := sheet.Apply(config(1)); losses.Removes() || losses.ToConfirm() != nil {
		t.Errorf("sheet equal to the configuration: losses %+v", losses)
	}
	if _, losses := sheet.Apply(config(3)); !slices.Equal(losses.ToConfirm(), []string{"x0", "x1"}) {
		t.Errorf("two of three accounts removed: losses %+v", losses)
	}
	for _, tc := range []struct{ accounts, targets, before, want int }{{1, 0, 5, 0}, {1, 0, 4, 1}, {0, 1, 5, 0}, {0, 1, 4, 1}} {
		l := parser.Losses{Accounts: make([]string, tc.accounts), Targets: make([]string, tc.targets), AccountsBefore: tc.before, TargetsBefore: tc.before}
		if got := len(l.ToConfirm()); got != tc.want {
			t.Errorf("%+v: %d names to confirm", tc, got)
		}
	}
	drained, _ := config(1).Target("t1")
	earlier := configurer.Delta{Base: 6, Version: 7, Author: "sora", RemoveTargets: []string{"t1"}}
	change := configurer.Delta{Base: 7, Version: 8, Author: "ren", PutTargets: []configurer.Target{drained.WithState(configurer.StateDraining)}}
	now, err := config(1).WithDelta(change)
	if err != nil {
		t.Fatal(err)
	}
	d, losses := sheet.Apply(now, earlier, change)
	if want := (parser.UndoneChange{Kind: "target", ID: "t1", Author: "ren", Version: 8}); len(losses.Undone) != 1 || losses.Undone[0] != want || !slices.Equal(losses.ToConfirm(), []string{"t1"}) {
		t.Errorf("drain undone by the sheet: losses %+v", losses)
	}
	if got := parser.Describe(now, d); len(got) != 1 || got[0] != (parser.Change{Action: "change", Kind: "target", ID: "t1", Column: "state", Before: "draining", After: "active"}) {
		t.Errorf("changes %+v", got)
	}
}
