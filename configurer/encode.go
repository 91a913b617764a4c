package configurer

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"
)

// digest is the exclusive or of the hashes of all rows. It does not depend on
// the order of changes and is updated in time proportional to the change. It
// detects divergence by faults, not by an adversary.
type digest [sha256.Size]byte

func (d *digest) toggle(kind string, row any) {
	body, err := json.Marshal(row)
	if err != nil {
		// Only a share that is not finite cannot be encoded; putAccount refuses it.
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "encode %s", kind))
	}
	sum := sha256.Sum256(append([]byte(kind+"\x00"), body...))
	for i := range d {
		d[i] ^= sum[i]
	}
}

// Digest identifies the content: configurations with equal rows have equal
// digests, whatever their history.
func (c Config) Digest() string { return hex.EncodeToString(c.sum[:8]) }

// snapshot is the JSON encoding of a whole configuration.
type snapshot struct {
	Version   uint64     `json:"version"`
	Accounts  []Account  `json:"accounts"`
	Targets   []Target   `json:"targets"`
	Operators []Operator `json:"operators"`
}

// MarshalJSON encodes the whole configuration. Equal configurations have equal
// encodings.
func (c Config) MarshalJSON() ([]byte, error) {
	return json.Marshal(snapshot{
		Version: c.version, Accounts: slices.Collect(c.Accounts()),
		Targets: slices.Collect(c.Targets()), Operators: slices.Collect(c.Operators()),
	})
}

// UnmarshalJSON replaces the value by an encoded configuration. Errors:
// ErrInvalid when a row breaks a rule.
func (c *Config) UnmarshalJSON(body []byte) error {
	var s snapshot
	if err := json.Unmarshal(body, &s); err != nil {
		return errors.Wrap(err, "decode configuration")
	}
	loaded, err := New(s.Version, s.Accounts, s.Targets, s.Operators)
	if err != nil {
		return err
	}
	*c = loaded
	return nil
}

// New returns a configuration with the given rows. Errors: ErrInvalid.
func New(version uint64, accounts []Account, targets []Target, operators []Operator) (Config, error) {
	b := newBuilder(Config{})
	if err := b.apply(Delta{PutAccounts: accounts, PutTargets: targets, PutOperators: operators}); err != nil {
		return Config{}, err
	}
	return b.config(version), nil
}
