package logger_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"monsoondeck.example/logger"
)

// catalogueRow is the line that docs/events.md must contain for an event.
func catalogueRow(e logger.Event) string {
	action := e.Action
	if action == "" {
		action = "-"
	}
	return fmt.Sprintf("| %d | %s | %s | %s |", e.Number, e.Level, e.Message, action)
}

// Guards against a docs/events.md that does not match the code.
func TestCataloguePageListsEveryEvent(t *testing.T) {
	page, err := os.ReadFile("../docs/events.md")
	if err != nil {
		t.Fatal(err)
	}
	rows := 0
	for line := range strings.Lines(string(page)) {
		if strings.HasPrefix(line, "| ") && !strings.HasPrefix(line, "| number") {
			rows++
		}
	}
	for _, e := range logger.Catalogue() {
		if !strings.Contains(string(page), catalogueRow(e)+"\n") {
			t.Errorf("docs/events.md lacks the row %q", catalogueRow(e))
		}
	}
	if rows != len(logger.Catalogue()) {
		t.Errorf("docs/events.md has %d events, the code has %d", rows, len(logger.Catalogue()))
	}
}

// Guards against two events with one number, which would mislead alerts.
func TestEventNumbersIncrease(t *testing.T) {
	last := 0
	for _, e := range logger.Catalogue() {
		if e.Number <= last {
			t.Errorf("event %d %q does not follow %d", e.Number, e.Message, last)
		}
		last = e.Number
	}
}
