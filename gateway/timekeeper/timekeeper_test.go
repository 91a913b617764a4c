package timekeeper_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"monsoondeck.example/gateway/timekeeper"
)

// Guards against news that looks younger than it is, whatever time calls and messages take
// on their way and for however long the host was suspended.
func TestTimesOfTheStoreAreNeverTakenForLater(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var k timekeeper.Keeper
		draw := func(name string, most int) time.Duration {
			return time.Duration(rapid.IntRange(0, most).Draw(t, name)) * time.Millisecond
		}
		local, store := time.Duration(0), draw("storeStart", 100000)
		past := []struct{ local, store time.Duration }{{local, store}}
		for range 40 {
			step := draw("step", 3000)
			local, store = local+step, store+step
			if rapid.IntRange(0, 4).Draw(t, "call") == 0 {
				there, back := draw("there", 500), draw("back", 500)
				sent := local
				local, store = local+there, store+there
				answered := store
				local, store = local+back, store+back
				k.RecordCall(sent, answered)
			}
			past = append(past, struct{ local, store time.Duration }{local, store})
			for _, p := range past {
				if at, ok := k.Local(p.store); ok && at > p.local {
					t.Fatalf("store time %v was at %v, taken for %v", p.store, p.local, at)
				}
			}
		}
	})
}

// Guards against a host whose clock stood still while it was suspended and that from then
// on takes all news for newer than it is.
func TestSuspensionIsNoticed(t *testing.T) {
	var k timekeeper.Keeper
	k.RecordReceipt(time.Second, time.Hour) // says nothing before the first call
	if _, ok := k.Local(time.Hour); ok {
		t.Error("a difference is known before the first call")
	}
	k.RecordCall(10*time.Second, 100*time.Second)
	k.RecordReceipt(12*time.Second, 101*time.Second) // took a second
	if at, _ := k.Local(101 * time.Second); at != 11*time.Second {
		t.Errorf("store time 101 s was at %v, want 11 s", at)
	}
	k.RecordReceipt(13*time.Second, 110*time.Second) // suspended for seven seconds
	if at, _ := k.Local(110 * time.Second); at != 13*time.Second {
		t.Errorf("store time 110 s was at %v after the suspension, want 13 s", at)
	}
	if store, _ := k.Store(13 * time.Second); store != 110*time.Second {
		t.Errorf("at 13 s the store's time is %v, want 110 s", store)
	}
	k.RecordCall(14*time.Second, 111500*time.Millisecond)
	if at, _ := k.Local(111 * time.Second); at != 13500*time.Millisecond {
		t.Errorf("store time 111 s was at %v after the next call, want 13.5 s", at)
	}
}

// Guards against a difference that is kept forever although the clocks run at different
// speeds.
func TestOldSamplesAreReplaced(t *testing.T) {
	var k timekeeper.Keeper
	k.RecordCall(0, 10*time.Second)
	k.RecordCall(10*time.Second, 20*time.Second+time.Millisecond)
	if at, _ := k.Local(10 * time.Second); at != 0 {
		t.Errorf("a worse sample replaced a recent one: %v", at)
	}
	k.RecordCall(2*time.Minute, 2*time.Minute+10*time.Second+time.Millisecond)
	if at, _ := k.Local(10 * time.Second); at != -time.Millisecond {
		t.Errorf("a worse sample did not replace an old one: %v", at)
	}
}
