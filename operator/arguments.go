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

// arguments are the nouns and the settings that all commands share. The key of
// the operator is no flag, because other users of a host can see flags.
type arguments struct {
	Sheet   *sheetVerbs   `arg:"subcommand:sheet" help:"the planners' sheet and the configuration"`
	Target  *targetVerbs  `arg:"subcommand:target" help:"model engines and services"`
	Account *accountVerbs `arg:"subcommand:account" help:"client accounts"`
	Fleet   *fleetVerbs   `arg:"subcommand:fleet" help:"the daemons"`
	Request *requestVerbs `arg:"subcommand:request" help:"requests of callers"`

	TableURL   string        `arg:"--table-url" placeholder:"URL" help:"table service [env: MONSOONDECK_TABLE_URL]"`
	ObjectsURL string        `arg:"--objects-url" placeholder:"URL" help:"object store [env: MONSOONDECK_OBJECTS_URL]"`
	Daemons    string        `arg:"--daemons" placeholder:"IP:PORT,..." help:"admin listeners of the daemons [env: MONSOONDECK_DAEMONS]"`
	Operator   string        `arg:"--operator" placeholder:"NAME" help:"your name as operator [env: MONSOONDECK_OPERATOR]; your key is read from MONSOONDECK_OPERATOR_KEY"`
	Timeout    time.Duration `arg:"--timeout" default:"5s" placeholder:"TIME" help:"longest wait for one answer"`
}

type sheetVerbs struct {
	Check   *checker.Options   `arg:"subcommand:check" help:"list every fault of a sheet"`
	Diff    *differ.Options    `arg:"subcommand:diff" help:"show what a sheet would change"`
	Apply   *applier.Options   `arg:"subcommand:apply" help:"make a sheet the configuration"`
	Show    *viewer.Options    `arg:"subcommand:show" help:"show or export the configuration"`
	History *historian.Options `arg:"subcommand:history" help:"show who changed what"`
}

type targetVerbs struct {
	Drain   *drainer.Options   `arg:"subcommand:drain" help:"stop new requests to targets"`
	Undrain *undrainer.Options `arg:"subcommand:undrain" help:"let targets receive requests again"`
}

type accountVerbs struct {
	AddKey    *keyadder.Options         `arg:"subcommand:addkey" help:"make a new key"`
	RotateKey *keyrotator.Options       `arg:"subcommand:rotatekey" help:"make a new key and remove old ones"`
	Explain   *accountexplainer.Options `arg:"subcommand:explain" help:"show how requests of an account are served"`
}

type fleetVerbs struct {
	Status *reporter.Options `arg:"subcommand:status" help:"show which configuration every daemon has"`
}

type requestVerbs struct {
	Explain *requestexplainer.Options `arg:"subcommand:explain" help:"show how a request was served"`
}

// fill takes settings that are no flags from the environment.
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

func lookup(env []string, name string) string {
	for _, e := range env {
		if key, value, _ := strings.Cut(e, "="); key == name {
			return value
		}
	}
	return ""
}
