// Package encoder converts frames between their Go type and their CBOR wire
// form, and enforces the limits of the wire form at both ends.
package encoder

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"monsoondeck.example/messenger"
)

const (
	// Version is the protocol version of the frames that this package encodes.
	Version = 1

	// MaxBytes limits the encoded size of a frame.
	MaxBytes = 256 << 10

	// MaxElements limits the length of each list in a frame. An entry of any
	// list takes more than 16 bytes, so the size limit is reached first in
	// well-formed traffic.
	MaxElements = 16 << 10

	// maxFields and maxDepth are above the largest message type and its nesting:
	// frame, list, message, list, entry.
	maxFields = 64
	maxDepth  = 8
)

var (
	// ErrTooLarge reports a frame above MaxBytes.
	ErrTooLarge = errors.New("frame exceeds the size limit")

	// ErrVersion reports a frame of another protocol version.
	ErrVersion = errors.New("frame has an unsupported protocol version")

	// ErrMalformed reports bytes that are not a frame or exceed an element limit.
	ErrMalformed = errors.New("frame is malformed")
)

// Encoder encodes and decodes frames. It is safe for concurrent use.
type Encoder struct {
	encode cbor.EncMode
	decode cbor.DecMode
}

// New returns an Encoder.
func New() (*Encoder, error) {
	em, err := cbor.EncOptions{
		// Whole and short numbers take fewer bytes without a loss of precision.
		ShortestFloat: cbor.ShortestFloat16,
		NaNConvert:    cbor.NaNConvertReject,
		InfConvert:    cbor.InfConvertReject,
		IndefLength:   cbor.IndefLengthForbidden,
		TagsMd:        cbor.TagsForbidden,
	}.EncMode()
	if err != nil {
		return nil, errors.Wrap(err, "build the encoding mode")
	}
	dm, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		MaxArrayElements: MaxElements,
		MaxMapPairs:      maxFields,
		MaxNestedLevels:  maxDepth,
		// One NaN or infinite cost would make an account's service total useless.
		NaN: cbor.NaNDecodeForbidden,
		Inf: cbor.InfDecodeForbidden,
	}.DecMode()
	if err != nil {
		return nil, errors.Wrap(err, "build the decoding mode")
	}
	return &Encoder{encode: em, decode: dm}, nil
}

// Encode returns the wire form of f with the protocol version set. The error
// matches ErrTooLarge if the result exceeds MaxBytes, and ErrMalformed if f
// holds a value that has no wire form.
func (e *Encoder) Encode(f messenger.Frame) ([]byte, error) {
	f.Version = Version
	b, err := e.encode.Marshal(f)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "encode a frame"), ErrMalformed)
	}
	if len(b) > MaxBytes {
		return nil, errors.Wrapf(ErrTooLarge, "%d bytes", len(b))
	}
	return b, nil
}

// Decode returns the frame whose wire form is b. The error matches ErrTooLarge,
// ErrVersion or ErrMalformed.
func (e *Encoder) Decode(b []byte) (*messenger.Frame, error) {
	if len(b) > MaxBytes {
		return nil, errors.Wrapf(ErrTooLarge, "%d bytes", len(b))
	}
	var f messenger.Frame
	if err := e.decode.Unmarshal(b, &f); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "decode a frame"), e.cause(b))
	}
	if f.Version != Version {
		return nil, errors.Wrapf(ErrVersion, "version %d", f.Version)
	}
	return &f, nil
}

// cause tells a frame of another version, whose fields may have other types,
// from a malformed one.
func (e *Encoder) cause(b []byte) error {
	var h struct {
		Version uint64 `cbor:"1,keyasint"`
	}
	if err := e.decode.Unmarshal(b, &h); err == nil && h.Version != Version {
		return ErrVersion
	}
	return ErrMalformed
}
