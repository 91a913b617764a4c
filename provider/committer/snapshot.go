package committer

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"monsoondeck.example/configurer"
	"monsoondeck.example/provider"
)

const (
	snapshotPrefix = "config/snapshot/"
	// keptSnapshots is the number of readable snapshots that compaction keeps, so that
	// two of them may be lost or damaged.
	keptSnapshots = 3
)

// snapshotHeader is the first line of a snapshot object, in JSON; the compressed
// JSON of the configuration follows.
type snapshotHeader struct {
	Version uint64 `json:"version"`
	// SHA256 is the hexadecimal checksum of the compressed configuration.
	SHA256 string `json:"sha256"`
}

func snapshotKey(version uint64) string { return fmt.Sprintf("%s%020d", snapshotPrefix, version) }

func encodeSnapshot(config configurer.Config) ([]byte, error) {
	compressed, err := compress(config)
	if err != nil {
		return nil, errors.Wrap(err, "encode snapshot")
	}
	sum := sha256.Sum256(compressed)
	header, err := json.Marshal(snapshotHeader{Version: config.Version(), SHA256: hex.EncodeToString(sum[:])})
	if err != nil {
		return nil, errors.Wrap(err, "encode snapshot header")
	}
	return slices.Concat(header, []byte("\n"), compressed), nil
}

func decodeSnapshot(object []byte, version uint64) (configurer.Config, error) {
	first, body, found := bytes.Cut(object, []byte("\n"))
	var header snapshotHeader
	if err := json.Unmarshal(first, &header); err != nil || !found {
		return configurer.Config{}, errors.Wrapf(ErrDamaged, "decode snapshot header: %v", err)
	}
	if sum := sha256.Sum256(body); hex.EncodeToString(sum[:]) != header.SHA256 {
		return configurer.Config{}, errors.Wrap(ErrDamaged, "snapshot does not match its checksum")
	}
	var config configurer.Config
	if err := decompress(body, &config); err != nil {
		return configurer.Config{}, errors.Wrap(err, "decode snapshot")
	}
	if config.Version() != version || header.Version != version {
		return configurer.Config{}, errors.Wrapf(ErrDamaged, "snapshot %d contains version %d", version, config.Version())
	}
	return config, nil
}

func (c *Committer) readSnapshot(ctx context.Context, version uint64) (configurer.Config, error) {
	object, err := c.o.Objects.Get(ctx, snapshotKey(version))
	if err != nil {
		return configurer.Config{}, errors.Wrapf(err, "read snapshot %d", version)
	}
	return decodeSnapshot(object, version)
}

// snapshotVersions returns the versions that have a snapshot object, newest first.
func (c *Committer) snapshotVersions(ctx context.Context) ([]uint64, error) {
	keys, err := c.o.Objects.List(ctx, snapshotPrefix)
	if err != nil {
		return nil, errors.Wrap(err, "list snapshots")
	}
	var versions []uint64
	for _, key := range keys {
		if v, err := strconv.ParseUint(strings.TrimPrefix(key, snapshotPrefix), 10, 64); err == nil {
			versions = append(versions, v)
		}
	}
	slices.Sort(versions)
	slices.Reverse(versions)
	return versions, nil
}

// Compact writes a snapshot of the configuration if the newest one is SnapshotEvery
// changes or more behind, and then deletes change rows and snapshots that recovery
// does not need. It is idempotent and may run in several
// processes at once. Errors: those of provider.
func (c *Committer) Compact(ctx context.Context, config configurer.Config) error {
	versions, err := c.snapshotVersions(ctx)
	if err != nil {
		return err
	}
	newest := uint64(0)
	if len(versions) > 0 {
		newest = versions[0]
	}
	if config.Version() < newest+c.o.SnapshotEvery {
		return nil
	}
	object, err := encodeSnapshot(config)
	if err != nil {
		return err
	}
	if err := c.o.Objects.Put(ctx, snapshotKey(config.Version()), object); err != nil {
		return errors.Wrap(err, "write snapshot")
	}
	return c.compact(ctx, append([]uint64{config.Version()}, versions...))
}

// compact deletes the snapshots and change rows that are older than the newest
// keptSnapshots readable snapshots. Each of these, with the change rows that are
// kept, leads to the current version. It deletes nothing if there are fewer.
func (c *Committer) compact(ctx context.Context, versions []uint64) error {
	readable := 0
	for i, v := range versions {
		if _, err := c.readSnapshot(ctx, v); err != nil {
			if !errors.Is(err, ErrDamaged) && !errors.Is(err, provider.ErrNotFound) {
				return err
			}
			c.o.Warn(errors.Wrapf(err, "snapshot %d", v))
			continue
		}
		if readable++; readable < keptSnapshots {
			continue
		}
		if err := c.deleteChanges(ctx, v); err != nil {
			return err
		}
		for _, old := range versions[i+1:] {
			if err := c.o.Objects.Delete(ctx, snapshotKey(old)); err != nil {
				return errors.Wrapf(err, "delete snapshot %d", old)
			}
		}
		return nil
	}
	return nil
}

// deleteChanges deletes the change rows up to and including the version last.
func (c *Committer) deleteChanges(ctx context.Context, last uint64) error {
	for after := ""; ; {
		rows, err := c.o.Table.List(ctx, changePrefix, after, pageRows)
		if err != nil {
			return errors.Wrap(err, "list old changes")
		}
		var keys []string
		for _, r := range rows {
			if r.Key <= changeKey(last) {
				keys, after = append(keys, r.Key), r.Key
			}
		}
		if len(keys) == 0 {
			return nil
		}
		if err := c.o.Table.Transact(ctx, nil, nil, keys); err != nil {
			return errors.Wrap(err, "delete old changes")
		}
	}
}
