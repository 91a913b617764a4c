package driver

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
)

// WatchVersions polls the configuration version of every daemon until the returned
// function is called, which describes every change to an older version. The first
// version after a restart counts as no change.
func (f *Fleet) WatchVersions() (reverted func() []string) {
	ctx, cancel := context.WithCancel(context.Background())
	ginkgo.DeferCleanup(cancel)
	var group sync.WaitGroup
	var mu sync.Mutex
	var found []string
	for _, d := range f.Daemons {
		group.Go(func() {
			incarnation, version := uint64(0), uint64(0)
			for ctx.Err() == nil {
				s, err := d.Status(ctx)
				if err == nil && s.Incarnation == incarnation && s.ConfigVersion < version {
					mu.Lock()
					found = append(found, fmt.Sprintf("%s from %d to %d", d.ID, version, s.ConfigVersion))
					mu.Unlock()
				}
				if err == nil {
					incarnation, version = s.Incarnation, s.ConfigVersion
				}
				time.Sleep(PollInterval)
			}
		})
	}
	return func() []string { cancel(); group.Wait(); return found }
}
