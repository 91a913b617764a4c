package encoder

// Keys of the frame's fields on the wire.
const (
	versionKey     = 1
	incarnationKey = 3
	demandsKey     = 8
	hostMarksKey   = 16
	unknownKey     = 1000
)
