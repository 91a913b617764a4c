package deployment

import (
	"fmt"

	"monsoondeck.example/configurer"
)

// Address returns the address of the target with an id.
type Address func(id string) string

// Delta returns the configuration change that adds all accounts and targets of the
// deployment.
func (d Deployment) Delta(address Address) configurer.Delta {
	x := configurer.Delta{Author: "deployment"}
	for _, a := range d.Accounts {
		x.PutAccounts = append(x.PutAccounts, configurer.Account{
			ID: a.ID, Name: a.ID, Share: a.Share, KeyHashes: []string{configurer.KeyHash(a.Key)}, Pools: []string{d.ServicePool, d.Model},
		})
	}
	for _, e := range d.Engines {
		x.PutTargets = append(x.PutTargets, configurer.Target{
			ID: e.ID, DataCentre: e.DataCentre, Address: address(e.ID), Kind: configurer.KindEngine,
			Pools: []string{d.Model}, Slots: e.Slots, State: configurer.StateActive,
		})
	}
	for _, s := range d.Services {
		x.PutTargets = append(x.PutTargets, configurer.Target{
			ID: s.ID, DataCentre: s.DataCentre, Address: address(s.ID), Kind: configurer.KindService,
			Pools: []string{d.ServicePool}, Slots: s.Slots, State: configurer.StateActive,
		})
	}
	return x
}

// EmulatorArguments returns the flags of an emulator process that serves all targets
// of the deployment and the platform services.
func (d Deployment) EmulatorArguments() []string {
	out := []string{"--table", "on", "--objects", "on", "--hosts", "lag=2s", "--oracle", "127.0.0.1:0"}
	for _, e := range d.Engines {
		out = append(out, "--engine", fmt.Sprintf("id=%s,model=%s,slots=%d,rate=%g,waiting=%d,cache=32768,resume=5s,loadLag=500ms,eventLag=200ms,eventGap=50",
			e.ID, d.Model, e.Slots, e.Rate, e.Slots/2))
	}
	for _, s := range d.Services {
		out = append(out, "--service", fmt.Sprintf("id=%s,name=%s,slots=%d,waiting=%d,duration=20ms", s.ID, d.ServicePool, s.Slots, s.Slots))
	}
	return out
}
