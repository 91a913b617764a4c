package emulator

import (
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"monsoondeck.example/emulator/engine"
	"monsoondeck.example/emulator/hosts"
	"monsoondeck.example/emulator/objects"
	"monsoondeck.example/emulator/service"
	"monsoondeck.example/emulator/table"
	"monsoondeck.example/emulator/weights"
)

// ErrFlag marks flags that cannot be read.
var ErrFlag = errors.New("flag is not usable")

const (
	defaultListen = "127.0.0.1:0"
	// Rates of the platform's services as its operators state them: about two
	// thousand reads and several hundred writes per second.
	defaultReads  = 2000
	defaultWrites = 300
)

// fields reads the comma-separated name=value pairs of one flag and collects
// the errors.
type fields struct {
	flag   string
	values map[string]string
	err    error
}

func parseFields(flag, value string) *fields {
	f := &fields{flag: flag, values: map[string]string{}}
	if value == "on" {
		return f
	}
	for pair := range strings.SplitSeq(value, ",") {
		name, v, ok := strings.Cut(pair, "=")
		if !ok {
			f.fail(pair, "is not name=value")
		}
		f.values[name] = v
	}
	return f
}

func (f *fields) fail(what, problem string) {
	f.err = errors.CombineErrors(f.err, errors.Wrapf(ErrFlag, "--%s: %q %s", f.flag, what, problem))
}

func (f *fields) text(name, otherwise string) string {
	v, ok := f.values[name]
	delete(f.values, name)
	if !ok {
		return otherwise
	}
	return v
}

func (f *fields) number(name string, otherwise float64) float64 {
	v := f.text(name, "")
	if v == "" {
		return otherwise
	}
	n, err := strconv.ParseFloat(v, 64)
	if err != nil || n < 0 {
		f.fail(name, "is not a number from 0 up")
	}
	return n
}

func (f *fields) duration(name string, otherwise time.Duration) time.Duration {
	v := f.text(name, "")
	if v == "" {
		return otherwise
	}
	d, err := time.ParseDuration(v)
	if err != nil || d < 0 {
		f.fail(name, "is not a duration")
	}
	return d
}

func (f *fields) listen() Listen { return Listen(f.text("listen", defaultListen)) }

func (f *fields) end() error {
	for name := range f.values {
		f.fail(name, "is not known")
	}
	return f.err
}

func (o options) settings() (Settings, error) {
	s := Settings{Oracle: Listen(o.Oracle)}
	var all error
	for _, v := range o.Engines {
		x, err := engineSettings(v)
		all = errors.CombineErrors(all, err)
		s.Engines = append(s.Engines, x)
	}
	for _, v := range o.Services {
		x, err := serviceSettings(v)
		all = errors.CombineErrors(all, err)
		s.Services = append(s.Services, x)
	}
	return s, errors.CombineErrors(all, o.platform(&s))
}

func (o options) platform(s *Settings) error {
	var all error
	if o.Table != "" {
		f := parseFields("table", o.Table)
		s.Table = &TableSettings{f.listen(), table.Settings{ReadsPerSecond: f.number("reads", defaultReads), WritesPerSecond: f.number("writes", defaultWrites)}}
		all = errors.CombineErrors(all, f.end())
	}
	if o.Objects != "" {
		f := parseFields("objects", o.Objects)
		s.Objects = &ObjectsSettings{f.listen(), objects.Settings{ReadsPerSecond: f.number("reads", defaultReads), WritesPerSecond: f.number("writes", defaultWrites)}}
		all = errors.CombineErrors(all, f.end())
	}
	if o.Hosts != "" {
		f := parseFields("hosts", o.Hosts)
		s.Hosts = &HostsSettings{f.listen(), hosts.Settings{Lag: f.duration("lag", 0)}}
		all = errors.CombineErrors(all, f.end())
	}
	if o.Weights != "" {
		f := parseFields("weights", o.Weights)
		s.Weights = &WeightsSettings{f.listen(), weights.Settings{LoadsPerSecond: f.number("loads", 0), LoadTime: f.duration("time", 0)}}
		all = errors.CombineErrors(all, f.end())
	}
	return all
}

func engineSettings(value string) (EngineSettings, error) {
	f := parseFields("engine", value)
	s := EngineSettings{Listen: f.listen(), Settings: engine.Settings{
		ID: f.text("id", ""), Model: f.text("model", ""),
		Slots: int(f.number("slots", 0)), TokensPerSecond: f.number("rate", 0),
		PromptTokensPerSecond: f.number("prefill", 0), WaitingRoom: int(f.number("waiting", 0)),
		CacheTokens: int(f.number("cache", 0)), ResumeWindow: f.duration("resume", 0),
		LoadLag: f.duration("loadLag", 0), CacheEventLag: f.duration("eventLag", 0),
		CacheEventGap: int(f.number("eventGap", 0)), IgnoreFence: f.text("ignoreFence", "false") == "true",
	}}
	return s, f.end()
}

func serviceSettings(value string) (ServiceSettings, error) {
	f := parseFields("service", value)
	s := ServiceSettings{Listen: f.listen(), Settings: service.Settings{
		ID: f.text("id", ""), Name: f.text("name", ""), Slots: int(f.number("slots", 0)),
		WaitingRoom: int(f.number("waiting", 0)), Duration: f.duration("duration", 0),
	}}
	return s, f.end()
}
