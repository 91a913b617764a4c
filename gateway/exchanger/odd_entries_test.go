package exchanger

import (
	"math"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"monsoondeck.example/gateway/controller"
	"monsoondeck.example/gateway/registrar"
)

// Report of other operators: after one odd entry in the registry, daemons stopped
// following it. Guards against entries that peers decode differently, so that no change
// of the registry can be applied any more.
func TestEntriesAreTheSameAtPeers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entry := rapid.Custom(func(t *rapid.T) registrar.Entry {
			return registrar.Entry{
				ID: rapid.String().Draw(t, "id"), Service: rapid.String().Draw(t, "service"), Address: rapid.String().Draw(t, "address"), DataCentre: rapid.String().Draw(t, "dataCentre"),
				Incarnation: rapid.Int64().Draw(t, "incarnation"), Slots: rapid.IntRange(0, math.MaxInt32).Draw(t, "slots"), Draining: rapid.Bool().Draw(t, "draining"), Version: rapid.String().Draw(t, "version"),
			}
		})
		change := controller.RegistryChange{Change: registrar.Change{Entries: rapid.SliceOfN(entry, 1, 5).Draw(t, "entries")}}
		if got := decodeRegistryChange(encodeRegistryChange(change)); !reflect.DeepEqual(got.Entries, change.Entries) {
			t.Fatalf("a peer decodes %+v, want %+v", got.Entries, change.Entries)
		}
	})
}
