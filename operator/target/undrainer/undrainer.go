// Package undrainer implements "target undrain".
package undrainer

import (
	"context"

	"monsoondeck.example/configurer"
	"monsoondeck.example/operator/session"
	"monsoondeck.example/operator/target/stater"
)

// Options are the arguments of the command.
type Options struct{ stater.Options }

// Run sets targets to active: they receive new requests again.
func (o *Options) Run(ctx context.Context, s *session.Session) error {
	return o.Set(ctx, s, configurer.StateActive, "target undrain")
}
