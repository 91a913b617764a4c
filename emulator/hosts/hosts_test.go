package hosts

import (
	"testing"
	"time"
)

// Guards against a host list that shows changes before the lag or skips some.
func TestChangesBecomeVisibleAfterLag(t *testing.T) {
	l, now := New(Settings{Lag: time.Second}), time.Now()
	l.Set(now, []Host{{Address: "a"}})
	l.Set(now.Add(500*time.Millisecond), []Host{{Address: "b"}})
	for after, want := range map[time.Duration]uint64{0: 0, 999 * time.Millisecond: 0, time.Second: 1, 1400 * time.Millisecond: 1, 1500 * time.Millisecond: 2} {
		l := &List{settings: l.settings, versions: l.versions} // a copy, as Visible drops versions
		if got := l.Visible(now.Add(after)); got.Revision != want {
			t.Errorf("after %v: revision %d, want %d", after, got.Revision, want)
		}
	}
}
