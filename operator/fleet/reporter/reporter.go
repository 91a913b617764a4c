// Package reporter implements "fleet status".
package reporter

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"monsoondeck.example/operator/failure"
	"monsoondeck.example/operator/fleetclient"
	"monsoondeck.example/operator/printer"
	"monsoondeck.example/operator/session"
)

// Options are the arguments of the command.
type Options struct{ printer.Flags }

// status is what a daemon tells about itself.
type status struct {
	ID            string   `json:"id"`
	DataCentre    string   `json:"dataCentre"`
	Incarnation   uint64   `json:"incarnation"`
	ConfigVersion uint64   `json:"configVersion"`
	Members       []string `json:"members"`
	ShardsOwned   []string `json:"shardsOwned"`
}

// States of a daemon in the report.
const (
	stateCurrent     = "current"
	stateBehind      = "behind"
	stateAnswers     = "answers" // the accepted version is not known
	stateUnreachable = "unreachable"
	stateNoAnswer    = "no answer" // a member that answered under no address in the settings
)

// Run reports the configuration version of every daemon. Daemons that gave no
// answer are named, and the command fails: nothing is known about their version.
func (o *Options) Run(ctx context.Context, s *session.Session) error {
	records := &printer.Records{Fields: []string{
		"address", "id", "state", "dataCentre", "configVersion", "members", "shardsOwned", "incarnation", "memberIDs", "shards"}, Hidden: 3}
	if err := records.Check(o.Flags); err != nil {
		return err
	}
	config, err := s.SignInToRead(ctx, "fleet status")
	if err != nil {
		return err
	}
	answers, err := fleetclient.Ask[status](ctx, s, "status")
	if err != nil {
		return err
	}
	unreachable := fleetclient.Unreachable(s, answers)
	var behind []string
	for _, a := range answers {
		v := a.Value
		state := stateOf(a, config.Version())
		if state == stateBehind {
			behind = append(behind, v.ID)
		}
		records.Add(a.Address, v.ID, state, v.DataCentre, v.ConfigVersion, len(v.Members), len(v.ShardsOwned), v.Incarnation, v.Members, v.ShardsOwned)
	}
	missing := unanswered(answers)
	for _, id := range missing {
		records.Add("", id, stateNoAnswer, "", uint64(0), 0, 0, uint64(0), []string(nil), []string(nil))
	}
	s.Progress("accepted version: %s", versionText(config.Version()))
	if err := s.Printer().Print(records, o.Flags); err != nil {
		return err
	}
	return verdict(unreachable, missing, behind)
}

func versionText(version uint64) string {
	if version == 0 {
		return "not known"
	}
	return fmt.Sprint(version)
}

func stateOf(a fleetclient.Answer[status], version uint64) string {
	switch {
	case a.Err != nil:
		return stateUnreachable
	case version == 0:
		return stateAnswers
	case a.Value.ConfigVersion < version:
		return stateBehind
	}
	return stateCurrent
}

// unanswered returns the members that some daemon knows and that gave no answer
// under any address in the settings.
func unanswered(answers []fleetclient.Answer[status]) []string {
	answered, members := map[string]bool{}, []string(nil)
	for _, a := range answers {
		answered[a.Value.ID] = true
		members = append(members, a.Value.Members...)
	}
	members = slices.DeleteFunc(members, func(id string) bool { return answered[id] })
	return slices.Compact(slices.Sorted(slices.Values(members)))
}

func verdict(unreachable, missing, behind []string) error {
	var parts []string
	for what, list := range map[string][]string{"cannot be reached": unreachable, "members without answer": missing, "behind": behind} {
		if len(list) > 0 {
			parts = append(parts, fmt.Sprintf("%s: %s", what, strings.Join(list, ", ")))
		}
	}
	if len(parts) == 0 {
		return nil
	}
	slices.Sort(parts)
	return failure.New(failure.CodeFailed, "the configuration of some daemons is old or not known ("+strings.Join(parts, "; ")+")",
		"Run the command again after a few seconds; look at the hosts and at --daemons if it stays so.")
}
