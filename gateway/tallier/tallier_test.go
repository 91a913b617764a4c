package tallier_test

import (
	"fmt"
	"sync"
	"testing"

	"monsoondeck.example/gateway/tallier"
)

// Guards against sums that miss requests of concurrent handlers, or that count them again in
// the next second.
func TestSumsAreCompleteAndTakenOnce(t *testing.T) {
	tally := tallier.New(8)
	var group sync.WaitGroup
	for i := range 4 {
		group.Go(func() {
			for range 1000 {
				tally.Asked(fmt.Sprint("a", i%2), 10)
				tally.Refused(fmt.Sprint("a", i%2), "hostBusy")
			}
			tally.Began("a0", 5)
		})
	}
	group.Wait()
	sums := tally.Take()
	if len(sums) != 2 || sums[0].Account != "a0" || sums[1].Account != "a1" {
		t.Fatalf("sums %+v, want those of a0 and a1", sums)
	}
	if s := sums[0]; s.Asked != 20000 || s.AskedRequests != 2000 || s.Began != 20 || s.BeganRequests != 4 || s.Refused["hostBusy"] != 2000 {
		t.Errorf("sum %+v", s)
	}
	if again := tally.Take(); len(again) != 0 {
		t.Errorf("sums %+v were taken twice", again)
	}
}

// Guards against memory and log records that grow with the number of accounts.
func TestAccountsBeyondTheLimitAreOneSum(t *testing.T) {
	tally := tallier.New(3)
	for i := range 100 {
		tally.Asked(fmt.Sprint("account", i), 1)
	}
	sums, asked := tally.Take(), 0.0
	for _, s := range sums {
		asked += s.Asked
	}
	if len(sums) != 4 || asked != 100 {
		t.Errorf("%d sums of %v tokens, want 4 of 100: %+v", len(sums), asked, sums)
	}
}

// Guards against sums that miss the requests which a busy host refuses unread: their account
// seems to ask for little, and not to be refused.
func TestUnreadRequestsCountAtTheMeanCost(t *testing.T) {
	tally := tallier.New(4)
	tally.RefusedUnread("a", "hostBusy")
	tally.Asked("a", 100)
	tally.Asked("a", 300)
	if s := tally.Take(); len(s) != 1 || s[0].Asked != 400 || s[0].AskedRequests != 3 || s[0].Refused["hostBusy"] != 1 {
		t.Fatalf("sums %+v, want 400 tokens of three requests, one of them of unknown cost", s)
	}
	tally = tallier.New(4)
	tally.Asked("a", 100)
	tally.Asked("a", 300)
	tally.Take()
	for range 3 { // the mean lasts while requests are refused only
		for range 10 {
			tally.RefusedUnread("a", "hostBusy")
		}
		if s := tally.Take(); len(s) != 1 || s[0].Asked != 2000 || s[0].Began != 0 || s[0].Refused["hostBusy"] != 10 {
			t.Fatalf("sums %+v, want ten refused requests of 200 tokens", s)
		}
	}
}
