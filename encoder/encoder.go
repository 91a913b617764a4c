// Package encoder encodes frames as CBOR and decodes them. Both directions enforce
// the limits of the wire format.
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

	// maxFields exceeds the number of fields of every message type, and maxDepth the
	// nesting of a frame: frame, list, message, list, entry.
	maxFields = 64
	maxDepth  = 8
)

var (
	// ErrTooLarge reports a frame whose encoding exceeds MaxBytes.
	ErrTooLarge = errors.New("frame exceeds the size limit")

	// ErrVersion reports a frame of another protocol version.
	ErrVersion = errors.New("frame has an unsupported protocol version")

	// ErrMalformed reports bytes that are not a frame or exceed an element limit, and
	// a frame with a value that cannot be encoded.
	ErrMalformed = errors.New("frame is malformed")
)

// Encoder encodes and decodes frames. It is safe for concurrent use.
type Encoder struct {
	encode cbor.EncMode
	decode cbor.DecMode
}

// New returns an Encoder. An error means that the CBOR options are invalid.
func New() (*Encoder, error) {
	em, err := cbor.EncOptions{
		// A float takes fewer bytes where a shorter format represents it exactly.
		ShortestFloat: cbor.ShortestFloat16,
		NaNConvert:    cbor.NaNConvertReject,
		InfConvert:    cbor.InfConvertReject,
		IndefLength:   cbor.IndefLengthForbidden,
		TagsMd:        cbor.TagsForbidden,
	}.EncMode()
	if err != nil {
		return nil, errors.Wrap(err, "create the CBOR encoder")
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
		return nil, errors.Wrap(err, "create the CBOR decoder")
	}
	return &Encoder{encode: em, decode: dm}, nil
}

// Encode sets the protocol version of f and returns its CBOR encoding. The error
// matches ErrTooLarge if the encoding exceeds MaxBytes, and ErrMalformed if f
// holds a value that cannot be encoded.
func (e *Encoder) Encode(f messenger.Frame) ([]byte, error) {
	f.Version = Version
	b, err := e.encode.Marshal(f)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "encode the frame"), ErrMalformed)
	}
	if len(b) > MaxBytes {
		return nil, errors.Wrapf(ErrTooLarge, "%d bytes", len(b))
	}
	return b, nil
}

// Decode returns the frame encoded in b. The error matches ErrTooLarge,
// ErrVersion or ErrMalformed.
func (e *Encoder) Decode(b []byte) (*messenger.Frame, error) {
	if len(b) > MaxBytes {
		return nil, errors.Wrapf(ErrTooLarge, "%d bytes", len(b))
	}
	var f messenger.Frame
	if err := e.decode.Unmarshal(b, &f); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "decode the frame"), e.decodeError(b))
	}
	if f.Version != Version {
		return nil, errors.Wrapf(ErrVersion, "version %d", f.Version)
	}
	return &f, nil
}

// decodeError returns the error for bytes that cannot be decoded: ErrVersion for a
// frame of another version, whose fields may have other types, else ErrMalformed.
func (e *Encoder) decodeError(b []byte) error {
	var header struct {
		Version uint64 `cbor:"1,keyasint"`
	}
	if err := e.decode.Unmarshal(b, &header); err == nil && header.Version != Version {
		return ErrVersion
	}
	return ErrMalformed
}
