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
	// packAbove is the size from which a change row is compressed. A first sheet
	// of 19,000 accounts is over 4 MB of JSON, too large for one transaction.
	packAbove = 16 << 10
	// maxUnpackedBytes bounds an unpacked change or snapshot.
	maxUnpackedBytes = 256 << 20
	// gzipMagic starts every compressed value; JSON never starts like this.
	gzipMagic = "\x1f\x8b"
)

func pack(value any) ([]byte, error) {
	var packed bytes.Buffer
	w := gzip.NewWriter(&packed)
	if err := json.NewEncoder(w).Encode(value); err != nil {
		return nil, errors.Wrap(err, "encode")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress")
	}
	return packed.Bytes(), nil
}

func unpack(packed []byte, to any) error {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return errors.Wrapf(ErrDamaged, "unpack: %v", err)
	}
	if err := json.NewDecoder(io.LimitReader(r, maxUnpackedBytes)).Decode(to); err != nil {
		return errors.Wrapf(ErrDamaged, "decode: %v", err)
	}
	return nil
}

func encodeChange(d configurer.Delta) ([]byte, error) {
	body, err := json.Marshal(d)
	if err != nil {
		return nil, errors.Wrapf(err, "encode change %s", d.ID)
	}
	if len(body) <= packAbove {
		return body, nil
	}
	return pack(d)
}

func decodeChange(r provider.Row) (configurer.Delta, error) {
	var d configurer.Delta
	if bytes.HasPrefix(r.Value, []byte(gzipMagic)) {
		if err := unpack(r.Value, &d); err != nil {
			return d, errors.Wrap(err, r.Key)
		}
	} else if err := json.Unmarshal(r.Value, &d); err != nil {
		return d, errors.Mark(errors.Wrapf(err, "decode %s", r.Key), ErrDamaged)
	}
	if !strings.HasSuffix(r.Key, fmt.Sprintf("%020d", d.Version)) {
		return d, errors.Wrapf(ErrDamaged, "%s holds version %d", r.Key, d.Version)
	}
	return d, nil
}
