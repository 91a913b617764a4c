package session

import (
	"context"
	"crypto/subtle"
	"fmt"

	"github.com/cockroachdb/errors"

	"monsoondeck.example/configurer"
	"monsoondeck.example/operator/failure"
	"monsoondeck.example/provider"
	"monsoondeck.example/provider/committer"
)

// maxConflictLines bounds the rows listed per change that won a race.
const maxConflictLines = 10

// SignIn loads the configuration and checks the operator's key against it.
// Commands that change something need editor. An attempt that is refused is
// noted in the audit trail under the action. Before the first sheet it returns
// the store, the empty configuration and committer.ErrNoConfig.
func (s *Session) SignIn(ctx context.Context, editor bool, action string) (Store, configurer.Config, error) {
	store, err := s.Factory.Store()
	if err != nil {
		return nil, configurer.Config{}, err
	}
	if err := s.requireKey(); err != nil {
		return nil, configurer.Config{}, err
	}
	config, err := store.Load(ctx)
	if errors.Is(err, committer.ErrNoConfig) {
		return store, config, errors.Mark(failure.New(failure.CodeFailed, err.Error(), "Apply a first sheet with 'sheet apply FILE'."), err)
	}
	if err != nil {
		return nil, config, err
	}
	if err := s.Permit(config, editor); err != nil {
		store.Note(ctx, committer.Record{
			Author: s.Settings.Operator, Action: action, From: config.Version(), To: config.Version(), Result: committer.ResultRefused,
		})
		return nil, config, err
	}
	return store, config, nil
}

func (s *Session) requireKey() error {
	if s.Settings.Operator == "" || s.Settings.Key == "" {
		return failure.Usage("not signed in", "Set MONSOONDECK_OPERATOR to your name and MONSOONDECK_OPERATOR_KEY to your key.")
	}
	return nil
}

// Permit checks the operator's key and role against a configuration.
func (s *Session) Permit(config configurer.Config, editor bool) error {
	if err := s.requireKey(); err != nil {
		return err
	}
	operator, known := config.Operator(s.Settings.Operator)
	hash := configurer.KeyHash(s.Settings.Key)
	// One answer for an unknown name and a wrong key, so that names cannot be tried out.
	if subtle.ConstantTimeCompare([]byte(operator.KeyHash), []byte(hash)) != 1 || !known {
		return failure.New(failure.CodeNotPermitted, fmt.Sprintf("name or key of operator %q is wrong", s.Settings.Operator),
			"Check MONSOONDECK_OPERATOR and MONSOONDECK_OPERATOR_KEY; keys of callers do not work here.")
	}
	if editor && operator.Role != configurer.RoleEditor {
		return failure.New(failure.CodeNotPermitted, fmt.Sprintf("operator %s may only read", operator.Name),
			"Ask an operator with role editor.")
	}
	return nil
}

// SignInToRead checks the key of an operator who reads from daemons. That must
// work while the platform is down, so it goes on without configuration then.
func (s *Session) SignInToRead(ctx context.Context, action string) (configurer.Config, error) {
	_, config, err := s.SignIn(ctx, false, action)
	if errors.Is(err, provider.ErrUnavailable) {
		s.Progress("the table service is unavailable: the key is not checked, and the accepted version is not known")
		return configurer.Config{}, nil
	}
	return config, err
}

// explainConflict lists what was changed by others.
func (s *Session) explainConflict(err error) {
	var conflict *committer.ConflictError
	if !errors.As(err, &conflict) {
		return
	}
	for _, d := range conflict.Changes {
		s.Progress("version %d by %s at %s:", d.Version, d.Author, d.Time.Format("2006-01-02 15:04:05 MST"))
		for _, line := range committer.Details(d, maxConflictLines) {
			s.Progress("  %s", line)
		}
		if more := d.Rows() - maxConflictLines; more > 0 {
			s.Progress("  and %d more rows", more)
		}
	}
}
