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

// maxConflictLines bounds the rows listed for each conflicting change.
const maxConflictLines = 10

// SignIn loads the configuration and checks the operator's key against it. editor
// requires the role that may change the configuration. A refused attempt is recorded
// in the audit trail with the action. Before the first sheet is applied, SignIn
// returns the store, the empty configuration and committer.ErrNoConfig.
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
		return store, config, errors.Mark(failure.New(failure.CodeFailed, err.Error(), "Apply the first sheet with 'sheet apply FILE'."), err)
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

// requireKey returns a failure if the operator's name or key is not set.
func (s *Session) requireKey() error {
	if s.Settings.Operator == "" || s.Settings.Key == "" {
		return failure.Usage("not signed in", "Set MONSOONDECK_OPERATOR to your name and MONSOONDECK_OPERATOR_KEY to your key.")
	}
	return nil
}

// Permit returns a failure unless the configuration contains the operator with the
// given key and, if editor is set, with the role editor.
func (s *Session) Permit(config configurer.Config, editor bool) error {
	if err := s.requireKey(); err != nil {
		return err
	}
	operator, known := config.Operator(s.Settings.Operator)
	hash := configurer.KeyHash(s.Settings.Key)
	// An unknown name and a wrong key give the same error, so that nobody can find
	// out the names of operators by trying.
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

// SignInToRead signs in an operator for a command that only reads from daemons. Such
// commands must work while the platform is down; SignInToRead then skips the check
// and returns the empty configuration.
func (s *Session) SignInToRead(ctx context.Context, action string) (configurer.Config, error) {
	_, config, err := s.SignIn(ctx, false, action)
	if errors.Is(err, provider.ErrUnavailable) {
		s.Progress("the table service is unavailable: the key is not checked, and the accepted version is not known")
		return configurer.Config{}, nil
	}
	return config, err
}

// printConflict lists the changes of others if err is a conflict.
func (s *Session) printConflict(err error) {
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
