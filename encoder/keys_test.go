package encoder

// CBOR keys of fields of the frame; no field has unknownKey.
const (
	versionKey     = 1
	incarnationKey = 3
	demandsKey     = 8
	hostMarksKey   = 16
	unknownKey     = 1000
)
