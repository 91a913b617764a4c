package connector

import (
	"testing"

	"monsoondeck.example/messenger"
)

// Guards against message types that split does not divide: an oversize frame with
// several such messages would be dropped.
func TestSplitDividesReportsAndChanges(t *testing.T) {
	for name, f := range map[string]*messenger.Frame{
		"work reports":     {WorkReports: make([]messenger.WorkReport, 5)},
		"registry changes": {RegistryChanges: make([]messenger.RegistryChange, 5)},
		"config pushes":    {ConfigPushes: make([]messenger.ConfigPush, 5)},
	} {
		a, b, ok := split(f)
		total := len(a.WorkReports) + len(b.WorkReports) + len(a.RegistryChanges) + len(b.RegistryChanges) + len(a.ConfigPushes) + len(b.ConfigPushes)
		if !ok || total != 5 {
			t.Errorf("%s: divided %t, %d of 5 are left", name, ok, total)
		}
	}
	if _, _, ok := split(&messenger.Frame{WorkReports: make([]messenger.WorkReport, 1)}); ok {
		t.Error("a single report was divided")
	}
}
