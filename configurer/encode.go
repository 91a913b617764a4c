package configurer

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"
)

// digest is the XOR of the SHA-256 hashes of all rows. It does not depend on the
// order of changes, and updating it takes time proportional to the change. It
// detects divergence caused by faults, not by an attacker.
type digest [sha256.Size]byte

// toggle adds a row to the digest, or removes a row that the digest contains.
func (d *digest) toggle(kind string, row any) {
	body, err := json.Marshal(row)
	if err != nil {
		// Encoding fails only for a share that is not finite; putAccount rejects those.
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "encode %s", kind))
	}
	sum := sha256.Sum256(append([]byte(kind+"\x00"), body...))
	for i := range d {
		d[i] ^= sum[i]
	}
}

// Digest returns a short hexadecimal hash of all rows. Configurations with equal
// rows have equal digests, whatever their versions and history.
func (c Config) Digest() string { return hex.EncodeToString(c.digest[:8]) }

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

// UnmarshalJSON replaces c with the decoded configuration. Errors: ErrInvalid if
// a row is invalid.
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

// New returns a configuration with the given version and rows. Errors: ErrInvalid.
func New(version uint64, accounts []Account, targets []Target, operators []Operator) (Config, error) {
	b := newBuilder(Config{})
	if err := b.apply(Delta{PutAccounts: accounts, PutTargets: targets, PutOperators: operators}); err != nil {
		return Config{}, err
	}
	return b.config(version), nil
}
