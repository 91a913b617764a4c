package encoder

import (
	"bytes"
	"math"
	"reflect"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"monsoondeck.example/messenger"
)

func newEncoder(t testing.TB) *Encoder {
	t.Helper()
	e, err := New()
	if err != nil {
		t.Fatal(err)
	}
	return e
}

// TestRoundTrip guards against fields that are lost or changed by encoding.
func TestRoundTrip(t *testing.T) {
	e := newEncoder(t)
	for name, f := range sampleFrames() {
		b, err := e.Encode(f)
		if err != nil {
			t.Fatal(err)
		}
		got, err := e.Decode(b)
		if err != nil || !reflect.DeepEqual(*got, f) {
			t.Errorf("%s: %v, got %+v", name, err, got)
		}
	}
}

// TestEncodeRefuses guards against encoding frames that every receiver rejects.
func TestEncodeRefuses(t *testing.T) {
	e := newEncoder(t)
	push := func(n int) messenger.Frame {
		return messenger.Frame{ConfigPushes: []messenger.ConfigPush{{Body: strings.Repeat("x", n)}}}
	}
	service := func(v float64) messenger.Frame {
		return messenger.Frame{ServiceReports: []messenger.ServiceReport{{Entries: []messenger.ServiceEntry{{Cumulative: v}}}}}
	}
	for name, c := range map[string]struct {
		frame messenger.Frame
		want  error
	}{
		"fits":         {push(MaxBytes - 200), nil},
		"too long":     {push(MaxBytes), ErrTooLarge},
		"not a number": {service(math.NaN()), ErrMalformed},
		"infinite":     {service(math.Inf(1)), ErrMalformed},
	} {
		if _, err := e.Encode(c.frame); !errors.Is(err, c.want) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// TestDecodeRefuses guards against accepting damaged or hostile frames.
func TestDecodeRefuses(t *testing.T) {
	e := newEncoder(t)
	valid, err := e.Encode(sampleProbe())
	if err != nil {
		t.Fatal(err)
	}
	plain := func(v any) []byte {
		b, err := cbor.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		return b
	}
	infinite := messenger.Frame{Version: Version, ServiceReports: []messenger.ServiceReport{{Entries: []messenger.ServiceEntry{{Cumulative: math.Inf(1)}}}}}
	other := sampleProbe()
	other.Version = Version + 1
	for name, c := range map[string]struct {
		data []byte
		want error
	}{
		"empty":                          {nil, ErrMalformed},
		"truncated":                      {valid[:len(valid)-1], ErrMalformed},
		"trailing bytes":                 {append(bytes.Clone(valid), 0), ErrMalformed},
		"too long":                       {make([]byte, MaxBytes+1), ErrTooLarge},
		"another version":                {plain(other), ErrVersion},
		"another version and field type": {plain(map[any]any{versionKey: 2, incarnationKey: "x"}), ErrVersion},
		"negative number":                {plain(map[any]any{versionKey: 1, incarnationKey: -1}), ErrMalformed},
		"duplicate field":                {append([]byte{0xa2}, bytes.Repeat(plain(map[any]any{versionKey: 1})[1:], 2)...), ErrMalformed},
		"too many elements":              {plain(map[any]any{versionKey: 1, hostMarksKey: make([]struct{}, MaxElements+1)}), ErrMalformed},
		"infinite cost":                  {plain(infinite), ErrMalformed},
		"huge declared length":           {append([]byte{0xa1}, append(plain(demandsKey), 0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff)...), ErrMalformed},
		"tag":                            {append([]byte{0xc1}, valid...), ErrMalformed},
	} {
		if _, err := e.Decode(c.data); !errors.Is(err, c.want) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// TestUnknownFieldsAreIgnored guards against an old daemon that rejects a field added
// later, so that daemons cannot be updated one by one.
func TestUnknownFieldsAreIgnored(t *testing.T) {
	b, err := cbor.Marshal(map[any]any{versionKey: 1, unknownKey: "later"})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := newEncoder(t).Decode(b); err != nil {
		t.Error(err)
	}
}

// FuzzDecode guards against panics, and against frames that change when they are
// decoded and encoded again.
func FuzzDecode(f *testing.F) {
	e := newEncoder(f)
	seeds := sampleFrames()
	seeds["probe"] = sampleProbe()
	for _, s := range seeds {
		b, err := e.Encode(s)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
		f.Add(b[:len(b)/2])
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		first, err := e.Decode(b)
		if err != nil {
			if !errors.IsAny(err, ErrMalformed, ErrVersion, ErrTooLarge) {
				t.Errorf("error without a sentinel: %v", err)
			}
			return
		}
		again, err := e.Encode(*first)
		if err != nil {
			t.Fatalf("encode the decoded frame: %v", err)
		}
		second, err := e.Decode(again)
		if err != nil || len(second.Demands) != len(first.Demands) || second.Sender != first.Sender {
			t.Errorf("%v: %+v became %+v", err, first, second)
		}
	})
}
