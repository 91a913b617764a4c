// Package drainer implements "target drain".
package drainer

import (
	"context"

	"monsoondeck.example/configurer"
	"monsoondeck.example/operator/session"
	"monsoondeck.example/operator/target/stater"
)

// Options are the arguments of the command.
type Options struct{ stater.Options }

// Run sets targets to draining: they receive no new requests, and requests in flight
// finish.
func (o *Options) Run(ctx context.Context, s *session.Session) error {
	return o.Set(ctx, s, configurer.StateDraining, "target drain")
}
