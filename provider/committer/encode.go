package committer

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/cockroachdb/errors"

	"monsoondeck.example/configurer"
	"monsoondeck.example/provider"
)

const (
	// maxPlainBytes is the size above which a change row is compressed. A first sheet
	// of 19,000 accounts is over 4 MB of JSON, too large for one transaction.
	maxPlainBytes = 16 << 10
	// maxDecompressedBytes bounds the size of a decompressed change or snapshot.
	maxDecompressedBytes = 256 << 20
	// gzipMagic is the prefix of every compressed value. JSON never has it.
	gzipMagic = "\x1f\x8b"
)

// compress encodes a value as JSON and compresses it.
func compress(value any) ([]byte, error) {
	var compressed bytes.Buffer
	w := gzip.NewWriter(&compressed)
	if err := json.NewEncoder(w).Encode(value); err != nil {
		return nil, errors.Wrap(err, "encode")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress")
	}
	return compressed.Bytes(), nil
}

// decompress decodes a value that compress has encoded.
func decompress(compressed []byte, to any) error {
	r, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return errors.Wrapf(ErrDamaged, "decompress: %v", err)
	}
	if err := json.NewDecoder(io.LimitReader(r, maxDecompressedBytes)).Decode(to); err != nil {
		return errors.Wrapf(ErrDamaged, "decode: %v", err)
	}
	return nil
}

func encodeChange(d configurer.Delta) ([]byte, error) {
	body, err := json.Marshal(d)
	if err != nil {
		return nil, errors.Wrapf(err, "encode change %s", d.ID)
	}
	if len(body) <= maxPlainBytes {
		return body, nil
	}
	return compress(d)
}

func decodeChange(r provider.Row) (configurer.Delta, error) {
	var d configurer.Delta
	if bytes.HasPrefix(r.Value, []byte(gzipMagic)) {
		if err := decompress(r.Value, &d); err != nil {
			return d, errors.Wrap(err, r.Key)
		}
	} else if err := json.Unmarshal(r.Value, &d); err != nil {
		return d, errors.Mark(errors.Wrapf(err, "decode %s", r.Key), ErrDamaged)
	}
	if !strings.HasSuffix(r.Key, fmt.Sprintf("%020d", d.Version)) {
		return d, errors.Wrapf(ErrDamaged, "%s contains version %d", r.Key, d.Version)
	}
	return d, nil
}
