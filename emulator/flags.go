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

// ErrFlag marks the errors of flags that cannot be parsed.
var ErrFlag = errors.New("invalid flag")

const (
	defaultListenAddress = "127.0.0.1:0"
	// The default rates are those that the operators of the platform state: about two
	// thousand reads and several hundred writes per second.
	defaultReadsPerSecond  = 2000
	defaultWritesPerSecond = 300
)

// flagFields holds the comma-separated name=value pairs of one flag. Its methods remove
// the pairs that they read and collect errors in err; finish reports the rest as errors.
type flagFields struct {
	flag   string
	values map[string]string
	err    error
}

// parseFlagFields parses the value of a flag. The value "on" sets no fields.
func parseFlagFields(flag, value string) *flagFields {
	f := &flagFields{flag: flag, values: map[string]string{}}
	if value == "on" {
		return f
	}
	for pair := range strings.SplitSeq(value, ",") {
		name, v, ok := strings.Cut(pair, "=")
		if !ok {
			f.addError(pair, "is not of the form name=value")
		}
		f.values[name] = v
	}
	return f
}

// addError adds an error about a pair or a field of the flag.
func (f *flagFields) addError(subject, problem string) {
	f.err = errors.CombineErrors(f.err, errors.Wrapf(ErrFlag, "--%s: %q %s", f.flag, subject, problem))
}

// text removes a field and returns its value, or the fallback if it is not set.
func (f *flagFields) text(name, fallback string) string {
	v, ok := f.values[name]
	delete(f.values, name)
	if !ok {
		return fallback
	}
	return v
}

func (f *flagFields) number(name string, fallback float64) float64 {
	v := f.text(name, "")
	if v == "" {
		return fallback
	}
	n, err := strconv.ParseFloat(v, 64)
	if err != nil || n < 0 {
		f.addError(name, "is not a number of at least 0")
	}
	return n
}

func (f *flagFields) duration(name string, fallback time.Duration) time.Duration {
	v := f.text(name, "")
	if v == "" {
		return fallback
	}
	d, err := time.ParseDuration(v)
	if err != nil || d < 0 {
		f.addError(name, "is not a duration of at least 0")
	}
	return d
}

func (f *flagFields) listen() ListenAddress {
	return ListenAddress(f.text("listen", defaultListenAddress))
}

// finish returns all errors, among them one for each field that was not read.
func (f *flagFields) finish() error {
	for name := range f.values {
		f.addError(name, "is not a known field")
	}
	return f.err
}

// settings converts the flags to Settings.
func (o options) settings() (Settings, error) {
	s := Settings{Oracle: ListenAddress(o.Oracle)}
	var errs error
	for _, v := range o.Engines {
		x, err := engineSettings(v)
		errs = errors.CombineErrors(errs, err)
		s.Engines = append(s.Engines, x)
	}
	for _, v := range o.Services {
		x, err := serviceSettings(v)
		errs = errors.CombineErrors(errs, err)
		s.Services = append(s.Services, x)
	}
	return s, errors.CombineErrors(errs, o.platformSettings(&s))
}

// platformSettings adds the settings of the platform's services to s.
func (o options) platformSettings(s *Settings) error {
	var errs error
	if o.Table != "" {
		f := parseFlagFields("table", o.Table)
		s.Table = &TableSettings{f.listen(), table.Settings{ReadsPerSecond: f.number("reads", defaultReadsPerSecond), WritesPerSecond: f.number("writes", defaultWritesPerSecond)}}
		errs = errors.CombineErrors(errs, f.finish())
	}
	if o.Objects != "" {
		f := parseFlagFields("objects", o.Objects)
		s.Objects = &ObjectsSettings{f.listen(), objects.Settings{ReadsPerSecond: f.number("reads", defaultReadsPerSecond), WritesPerSecond: f.number("writes", defaultWritesPerSecond)}}
		errs = errors.CombineErrors(errs, f.finish())
	}
	if o.Hosts != "" {
		f := parseFlagFields("hosts", o.Hosts)
		s.Hosts = &HostsSettings{f.listen(), hosts.Settings{Lag: f.duration("lag", 0)}}
		errs = errors.CombineErrors(errs, f.finish())
	}
	if o.Weights != "" {
		f := parseFlagFields("weights", o.Weights)
		s.Weights = &WeightsSettings{f.listen(), weights.Settings{LoadsPerSecond: f.number("loads", 0), LoadTime: f.duration("time", 0)}}
		errs = errors.CombineErrors(errs, f.finish())
	}
	return errs
}

func engineSettings(value string) (EngineSettings, error) {
	f := parseFlagFields("engine", value)
	s := EngineSettings{Listen: f.listen(), Settings: engine.Settings{
		ID: f.text("id", ""), Model: f.text("model", ""),
		Slots: int(f.number("slots", 0)), TokensPerSecond: f.number("rate", 0),
		PromptTokensPerSecond: f.number("prefill", 0), QueueLimit: int(f.number("waiting", 0)),
		CacheTokens: int(f.number("cache", 0)), ResumeWindow: f.duration("resume", 0),
		LoadLag: f.duration("loadLag", 0), CacheEventLag: f.duration("eventLag", 0),
		CacheEventGap: int(f.number("eventGap", 0)), IgnoreFence: f.text("ignoreFence", "false") == "true",
	}}
	return s, f.finish()
}

func serviceSettings(value string) (ServiceSettings, error) {
	f := parseFlagFields("service", value)
	s := ServiceSettings{Listen: f.listen(), Settings: service.Settings{
		ID: f.text("id", ""), Name: f.text("name", ""), Slots: int(f.number("slots", 0)),
		QueueLimit: int(f.number("waiting", 0)), Duration: f.duration("duration", 0),
	}}
	return s, f.finish()
}
