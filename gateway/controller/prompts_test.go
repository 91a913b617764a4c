package controller_test

import (
	"context"
	"fmt"
	"testing"

	"monsoondeck.example/gateway/controller"
	"monsoondeck.example/gateway/placer"
	"monsoondeck.example/gateway/registrar"
	"monsoondeck.example/gateway/resolver"
)

// Load: short prompts and some long ones for a large service. Guards against lengths that
// are not observed, so that the engines are never split.
func TestLongAndShortPromptsGoToDifferentEngines(t *testing.T) {
	c := start(t, func(o *controller.Options) { o.SplitPrompts = true })
	c.SetConfig(0, resolver.New(resolver.Content{Version: 2, Services: []resolver.Service{{Name: "s", Engine: &resolver.Engine{Slots: 64}}}}))
	var entries []registrar.Entry
	for i := range 60 {
		entries = append(entries, registrar.Entry{ID: fmt.Sprint("e", i), Service: "s", Address: "127.0.0.1:1", DataCentre: "d", Slots: 64})
	}
	c.SetRegistry(0, registrar.Read{Moment: registrar.Moment{Revision: 2}, Entries: entries})
	used := map[int]map[string]bool{1000: {}, 8000: {}}
	for i := range uint64(400) {
		length := 1000
		if i%5 == 4 {
			length = 8000
		}
		d := demand(i + 1)
		d.Request.PromptTokens = length + 1000
		d.Request.Parts = placer.NewPromptParts("m", []string{fmt.Sprint("subject", i), fmt.Sprint("own", i)}, []int{1000, length})
		p, err := c.Wait(context.Background(), d)
		if err != nil {
			t.Fatal(err)
		}
		if i >= 100 {
			used[length][p.Decision().Choice.Target.ID] = true
		}
		p.End(placer.Complete)
	}
	for id := range used[8000] {
		if used[1000][id] {
			t.Errorf("engine %s gets long and short prompts", id)
		}
	}
}
