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

// status is the response of a daemon to /v1/status.
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
	stateResponding  = "answers" // responded, but the accepted version is not known
	stateUnreachable = "unreachable"
	stateNoResponse  = "no answer" // a member that responded at none of the addresses in the settings
)

// Run reports the configuration version of every daemon. It lists daemons that did
// not respond and then fails, because their versions are not known.
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
	responses, err := fleetclient.Get[status](ctx, s, "status")
	if err != nil {
		return err
	}
	unreachable := fleetclient.Unreachable(s, responses)
	var behind []string
	for _, r := range responses {
		v := r.Value
		state := stateOf(r, config.Version())
		if state == stateBehind {
			behind = append(behind, v.ID)
		}
		records.Add(r.Address, v.ID, state, v.DataCentre, v.ConfigVersion, len(v.Members), len(v.ShardsOwned), v.Incarnation, v.Members, v.ShardsOwned)
	}
	missing := unresponsive(responses)
	for _, id := range missing {
		records.Add("", id, stateNoResponse, "", uint64(0), 0, 0, uint64(0), []string(nil), []string(nil))
	}
	s.Progress("accepted version: %s", versionText(config.Version()))
	if err := s.Printer().Print(records, o.Flags); err != nil {
		return err
	}
	return checkDaemons(unreachable, missing, behind)
}

func versionText(version uint64) string {
	if version == 0 {
		return "not known"
	}
	return fmt.Sprint(version)
}

// stateOf returns the state of a daemon; version is the accepted version, or 0 if
// it is not known.
func stateOf(r fleetclient.Response[status], version uint64) string {
	switch {
	case r.Err != nil:
		return stateUnreachable
	case version == 0:
		return stateResponding
	case r.Value.ConfigVersion < version:
		return stateBehind
	}
	return stateCurrent
}

// unresponsive returns the members that some daemon lists and that responded at none
// of the addresses in the settings.
func unresponsive(responses []fleetclient.Response[status]) []string {
	responded, members := map[string]bool{}, []string(nil)
	for _, r := range responses {
		responded[r.Value.ID] = true
		members = append(members, r.Value.Members...)
	}
	members = slices.DeleteFunc(members, func(id string) bool { return responded[id] })
	return slices.Compact(slices.Sorted(slices.Values(members)))
}

// checkDaemons returns a failure if the configuration of any daemon is old or not
// known.
func checkDaemons(unreachable, missing, behind []string) error {
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
		"Run the command again after a few seconds; if the result is the same, check the hosts and --daemons.")
}
