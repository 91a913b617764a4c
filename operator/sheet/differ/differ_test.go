package differ_test

import (
	"context"
	"os"
	"testing"

	"monsoondeck.example/configurer"
	"monsoondeck.example/operator/failure"
	"monsoondeck.example/operator/session"
	"monsoondeck.example/operator/sheet/differ"
	"monsoondeck.example/parser"
	"monsoondeck.example/provider/committer"
)

// compacted is a store whose old changes have been deleted.
type compacted struct{ session.Store }

func (compacted) Changes(context.Context, uint64) ([]configurer.Delta, error) {
	return nil, committer.ErrCompacted
}

// Guards against comparing a sheet that is so old that the changes since its export,
// which it might undo, are no longer kept.
func TestSheetThatIsTooOldIsRefused(t *testing.T) {
	file, err := os.Open("../../../examples/kitakaze.csv")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	sheet, err := parser.Parse(file)
	if err != nil {
		t.Fatal(err)
	}
	config, err := configurer.New(900, nil, nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := differ.Compare(t.Context(), compacted{}, config, sheet); err == nil || failure.Of(err).Code != failure.CodeConflict {
		t.Errorf("error %v", err)
	}
}
