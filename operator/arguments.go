package operator

import (
	"strings"
	"time"

	accountexplainer "monsoondeck.example/operator/account/explainer"
	"monsoondeck.example/operator/account/keyadder"
	"monsoondeck.example/operator/account/keyrotator"
	"monsoondeck.example/operator/fleet/reporter"
	requestexplainer "monsoondeck.example/operator/request/explainer"
	"monsoondeck.example/operator/sheet/applier"
	"monsoondeck.example/operator/sheet/checker"
	"monsoondeck.example/operator/sheet/differ"
	"monsoondeck.example/operator/sheet/historian"
	"monsoondeck.example/operator/sheet/viewer"
	"monsoondeck.example/operator/target/drainer"
	"monsoondeck.example/operator/target/undrainer"
)

// arguments are the command groups and the flags that all commands share. The
// operator's key is not a flag, because other users of the host can see the command
// line of a process.
type arguments struct {
	Sheet   *sheetCommands   `arg:"subcommand:sheet" help:"the planners' sheet and the configuration"`
	Target  *targetCommands  `arg:"subcommand:target" help:"model engines and services"`
	Account *accountCommands `arg:"subcommand:account" help:"client accounts"`
	Fleet   *fleetCommands   `arg:"subcommand:fleet" help:"the daemons"`
	Request *requestCommands `arg:"subcommand:request" help:"requests of callers"`

	TableURL   string        `arg:"--table-url" placeholder:"URL" help:"table service [env: MONSOONDECK_TABLE_URL]"`
	ObjectsURL string        `arg:"--objects-url" placeholder:"URL" help:"object store [env: MONSOONDECK_OBJECTS_URL]"`
	Daemons    string        `arg:"--daemons" placeholder:"IP:PORT,..." help:"admin listeners of the daemons [env: MONSOONDECK_DAEMONS]"`
	Operator   string        `arg:"--operator" placeholder:"NAME" help:"your name as operator [env: MONSOONDECK_OPERATOR]; your key is read from MONSOONDECK_OPERATOR_KEY"`
	Timeout    time.Duration `arg:"--timeout" default:"5s" placeholder:"TIME" help:"timeout of each request"`
}

type sheetCommands struct {
	Check   *checker.Options   `arg:"subcommand:check" help:"list every fault of a sheet"`
	Diff    *differ.Options    `arg:"subcommand:diff" help:"show what a sheet would change"`
	Apply   *applier.Options   `arg:"subcommand:apply" help:"replace the configuration by a sheet"`
	Show    *viewer.Options    `arg:"subcommand:show" help:"show or export the configuration"`
	History *historian.Options `arg:"subcommand:history" help:"show who changed what"`
}

type targetCommands struct {
	Drain   *drainer.Options   `arg:"subcommand:drain" help:"stop new requests to targets"`
	Undrain *undrainer.Options `arg:"subcommand:undrain" help:"let targets receive requests again"`
}

type accountCommands struct {
	AddKey    *keyadder.Options         `arg:"subcommand:addkey" help:"make a new key"`
	RotateKey *keyrotator.Options       `arg:"subcommand:rotatekey" help:"make a new key and remove old ones"`
	Explain   *accountexplainer.Options `arg:"subcommand:explain" help:"show how requests of an account are served"`
}

type fleetCommands struct {
	Status *reporter.Options `arg:"subcommand:status" help:"show which configuration every daemon has"`
}

type requestCommands struct {
	Explain *requestexplainer.Options `arg:"subcommand:explain" help:"show how a request was served"`
}

// fill sets flags that are not given from environment variables.
func (a *arguments) fill(env []string) {
	for name, field := range map[string]*string{
		"MONSOONDECK_TABLE_URL": &a.TableURL, "MONSOONDECK_OBJECTS_URL": &a.ObjectsURL,
		"MONSOONDECK_DAEMONS": &a.Daemons, "MONSOONDECK_OPERATOR": &a.Operator,
	} {
		if *field == "" {
			*field = lookup(env, name)
		}
	}
}

// lookup returns the value of an environment variable, or "".
func lookup(env []string, name string) string {
	for _, e := range env {
		if key, value, _ := strings.Cut(e, "="); key == name {
			return value
		}
	}
	return ""
}
