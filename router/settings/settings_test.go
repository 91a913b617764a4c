package settings_test

import (
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"monsoondeck.example/router/settings"
)

// valid returns settings that Validate accepts.
func valid() settings.Settings {
	return settings.Settings{
		ID: "r1", DataCentre: "dc1", CallerAddress: "127.0.0.1:1", PeerAddress: "127.0.0.1:2", AdminAddress: "127.0.0.1:3",
		TableURL: "http://127.0.0.1:4", ObjectsURL: "http://127.0.0.1:5", FleetSecret: "0123456789abcdef", Policy: "fleet",
		StopTimeout: time.Second, QueueLimit: 1, QueueBytes: 1, MaxWait: time.Second, FirstToken: time.Second,
		TokenInterval: time.Second, LogFormat: "text",
	}.WithDefaults()
}

// Guards against a daemon that starts with invalid settings, and against an error
// that lists only the first invalid setting.
func TestValidateListsEveryFault(t *testing.T) {
	if err := valid().Validate(); err != nil {
		t.Fatalf("valid settings are rejected: %v", err)
	}
	cases := map[string]func(s *settings.Settings){
		"id is missing":                func(s *settings.Settings) { s.ID = "" },
		"peer-address is":              func(s *settings.Settings) { s.PeerAddress = "localhost:1" },
		"seeds is":                     func(s *settings.Settings) { s.Seeds = "127.0.0.1:1,nowhere" },
		"table-url is":                 func(s *settings.Settings) { s.TableURL = "127.0.0.1:4" },
		"fleet-secret has 3 bytes":     func(s *settings.Settings) { s.FleetSecret = "abc" },
		`policy is "fair"`:             func(s *settings.Settings) { s.Policy = "fair" },
		"max-wait is 0s":               func(s *settings.Settings) { s.MaxWait = 0 },
		"weight-loads is -1":           func(s *settings.Settings) { s.WeightLoads = -1 },
		"queue-limit is -1":            func(s *settings.Settings) { s.QueueLimit = -1 },
		`log-format is "xml"; allowed`: func(s *settings.Settings) { s.LogFormat = "xml" },
	}
	allInvalid := valid()
	for _, invalidate := range cases {
		invalidate(&allInvalid)
	}
	combined := allInvalid.Validate()
	for want, invalidate := range cases {
		s := valid()
		invalidate(&s)
		err := s.Validate()
		if !errors.Is(err, settings.ErrInvalid) || !strings.Contains(err.Error(), want) {
			t.Errorf("error %v does not say %q", err, want)
		}
		if !strings.Contains(combined.Error(), want) {
			t.Errorf("the combined error does not say %q: %v", want, combined)
		}
	}
}

// Guards against a flag that the settings page does not list.
func TestPageListsEveryFlag(t *testing.T) {
	page, err := os.ReadFile("../../docs/settings.md")
	if err != nil {
		t.Fatal(err)
	}
	fields := reflect.TypeFor[settings.Settings]()
	for i := range fields.NumField() {
		flag, _, _ := strings.Cut(fields.Field(i).Tag.Get("arg"), ",")
		if !strings.Contains(string(page), "| `"+flag+"` |") {
			t.Errorf("docs/settings.md lacks %s", flag)
		}
	}
}
