// Package settings reads and checks the settings of a daemon, which come from
// flags and environment variables.
package settings

import (
	"log/slog"
	"net"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"monsoondeck.example/router/locator"
)

// ErrInvalid is returned for settings that a daemon cannot start with. The message
// of the returned error lists every invalid setting.
var ErrInvalid = errors.New("settings are invalid")

// Settings are the settings of one daemon. Run monsoond --help for their meaning
// and defaults.
type Settings struct {
	ID            string        `arg:"--id,env:MONSOOND_ID" placeholder:"NAME" help:"name of this daemon, unique in the fleet"`
	DataCentre    string        `arg:"--data-centre,env:MONSOOND_DATA_CENTRE" placeholder:"NAME" help:"data centre of this host"`
	CallerAddress string        `arg:"--caller-address,env:MONSOOND_CALLER_ADDRESS" default:"127.0.0.1:8080" placeholder:"IP:PORT" help:"listener for callers"`
	PeerAddress   string        `arg:"--peer-address,env:MONSOOND_PEER_ADDRESS" default:"127.0.0.1:8081" placeholder:"IP:PORT" help:"listener for other daemons"`
	AdminAddress  string        `arg:"--admin-address,env:MONSOOND_ADMIN_ADDRESS" default:"127.0.0.1:8082" placeholder:"IP:PORT" help:"listener for metrics, health and status"`
	Advertise     string        `arg:"--advertise,env:MONSOOND_ADVERTISE" placeholder:"IP:PORT" help:"peer address as other daemons reach it [default: the peer address]"`
	Seeds         string        `arg:"--seeds,env:MONSOOND_SEEDS" placeholder:"IP:PORT,..." help:"peer addresses of some other daemons"`
	TableURL      string        `arg:"--table-url,env:MONSOOND_TABLE_URL" placeholder:"URL" help:"table service"`
	ObjectsURL    string        `arg:"--objects-url,env:MONSOOND_OBJECTS_URL" placeholder:"URL" help:"object store"`
	HostsURL      string        `arg:"--hosts-url,env:MONSOOND_HOSTS_URL" placeholder:"URL" help:"host list [default: not used]"`
	FleetSecret   string        `arg:"--fleet-secret,env:MONSOOND_FLEET_SECRET" placeholder:"TEXT" help:"secret that all daemons share; better given by environment"`
	Policy        string        `arg:"--policy,env:MONSOOND_POLICY" default:"fleet" placeholder:"NAME" help:"fleet, or central, alone or static for measurements"`
	Bootstrap     string        `arg:"--bootstrap,env:MONSOOND_BOOTSTRAP" default:"peers" placeholder:"NAME" help:"peers, or platform for measurements: where a daemon without configuration asks first"`
	LameDuck      time.Duration `arg:"--lame-duck,env:MONSOOND_LAME_DUCK" default:"5s" placeholder:"TIME" help:"time to go on accepting requests after a stop signal"`
	StopTimeout   time.Duration `arg:"--stop-timeout,env:MONSOOND_STOP_TIMEOUT" default:"10m" placeholder:"TIME" help:"longest wait for requests in flight at a stop"`
	QueueLimit    int           `arg:"--queue-limit,env:MONSOOND_QUEUE_LIMIT" default:"1000" placeholder:"N" help:"waiting requests of one client account at this daemon"`
	QueueBytes    int64         `arg:"--queue-bytes,env:MONSOOND_QUEUE_BYTES" default:"16777216" placeholder:"BYTES" help:"queued bytes of one client account at this daemon"`
	MaxWait       time.Duration `arg:"--max-wait,env:MONSOOND_MAX_WAIT" default:"60s" placeholder:"TIME" help:"longest wait of a request without a deadline"`
	FirstToken    time.Duration `arg:"--first-token,env:MONSOOND_FIRST_TOKEN" default:"1.5s" placeholder:"TIME" help:"objective for the first token"`
	TokenInterval time.Duration `arg:"--token-interval,env:MONSOOND_TOKEN_INTERVAL" default:"78ms" placeholder:"TIME" help:"objective for the time between tokens"`
	EngineOrders  bool          `arg:"--engine-orders,env:MONSOOND_ENGINE_ORDERS" default:"true" help:"order engines to load the models that the configuration names"`
	WeightLoads   float64       `arg:"--weight-loads,env:MONSOOND_WEIGHT_LOADS" default:"10" placeholder:"N" help:"loads per second that the weight store allows the whole fleet; 0 is no limit"`
	LogFormat     string        `arg:"--log-format,env:MONSOOND_LOG_FORMAT" default:"text" placeholder:"NAME" help:"json or text"`
	LogLevel      slog.Level    `arg:"--log-level,env:MONSOOND_LOG_LEVEL" default:"INFO" placeholder:"LEVEL" help:"DEBUG, INFO, WARN or ERROR"`
	Check         bool          `arg:"--check" help:"check the settings and exit"`
}

// Values of Settings.Bootstrap: where a daemon without a configuration asks for one
// first.
const (
	BootstrapPeers    = "peers"
	BootstrapPlatform = "platform"
)

// minSecretBytes is long enough that the fleet secret cannot be guessed.
const minSecretBytes = 16

// Description returns the first line of the usage text. It implements
// arg.Described.
func (Settings) Description() string {
	return "monsoond routes the requests of client accounts to targets."
}

// WithDefaults returns the settings with Advertise and Bootstrap filled in if they
// are empty. The other defaults are set by the flag parser.
func (s Settings) WithDefaults() Settings {
	if s.Advertise == "" {
		s.Advertise = s.PeerAddress
	}
	if s.Bootstrap == "" {
		s.Bootstrap = BootstrapPeers
	}
	return s
}

// SeedList splits Seeds at commas and spaces.
func (s Settings) SeedList() []string {
	return strings.FieldsFunc(s.Seeds, func(r rune) bool { return r == ',' || r == ' ' })
}

// Validate returns an error that matches ErrInvalid and lists every invalid setting,
// or nil.
func (s Settings) Validate() error {
	var p problems
	p.require("id", s.ID)
	p.require("data-centre", s.DataCentre)
	p.address("caller-address", s.CallerAddress)
	p.address("peer-address", s.PeerAddress)
	p.address("admin-address", s.AdminAddress)
	p.address("advertise", s.Advertise)
	for _, seed := range s.SeedList() {
		p.address("seeds", seed)
	}
	p.url("table-url", s.TableURL)
	p.url("objects-url", s.ObjectsURL)
	if s.HostsURL != "" {
		p.url("hosts-url", s.HostsURL)
	}
	p.check(len(s.FleetSecret) >= minSecretBytes, "fleet-secret has %d bytes; at least %d are needed", len(s.FleetSecret), minSecretBytes)
	switch locator.Policy(s.Policy) {
	case locator.Fleet, locator.Central, locator.Independent, locator.Static:
	default:
		p.check(false, "policy is %q; allowed are fleet, central, alone and static", s.Policy)
	}
	p.check(s.Bootstrap == BootstrapPeers || s.Bootstrap == BootstrapPlatform, "bootstrap is %q; allowed are peers and platform", s.Bootstrap)
	p.check(s.LogFormat == "json" || s.LogFormat == "text", "log-format is %q; allowed are json and text", s.LogFormat)
	p.check(s.LameDuck >= 0, "lame-duck is %v; it cannot be negative", s.LameDuck)
	for name, d := range map[string]time.Duration{"stop-timeout": s.StopTimeout, "max-wait": s.MaxWait, "first-token": s.FirstToken, "token-interval": s.TokenInterval} {
		p.check(d > 0, "%s is %v; it must be positive", name, d)
	}
	p.check(s.QueueLimit > 0, "queue-limit is %d; it must be positive", s.QueueLimit)
	p.check(s.WeightLoads >= 0, "weight-loads is %v; it cannot be negative", s.WeightLoads)
	p.check(s.QueueBytes > 0, "queue-bytes is %d; it must be positive", s.QueueBytes)
	return p.err()
}

// problems lists a message for each invalid setting.
type problems []string

// check adds the message unless ok is true.
func (p *problems) check(ok bool, format string, args ...any) {
	if !ok {
		*p = append(*p, errors.Newf(format, args...).Error())
	}
}

func (p *problems) require(name, value string) {
	p.check(value != "", "%s is missing", name)
}

func (p *problems) address(name, value string) {
	host, _, err := net.SplitHostPort(value)
	p.check(err == nil && net.ParseIP(host) != nil, "%s is %q; an IP address with a port is needed", name, value)
}

func (p *problems) url(name, value string) {
	u, err := url.Parse(value)
	p.check(err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != "", "%s is %q; an http or https address is needed", name, value)
}

func (p *problems) err() error {
	if len(*p) == 0 {
		return nil
	}
	return errors.Wrapf(ErrInvalid, "%s", strings.Join(*p, "; "))
}
