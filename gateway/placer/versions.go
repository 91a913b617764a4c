package placer

// VersionLimit limits a request to targets of one software version. The zero value sets no
// limit.
type VersionLimit struct {
	limited bool
	version string
}

// OnlyVersion returns the limit to a version.
func OnlyVersion(version string) VersionLimit { return VersionLimit{limited: true, version: version} }

// Limited reports whether there is a limit.
func (l VersionLimit) Limited() bool { return l.limited }

// Allows reports whether a target of the version may get the request.
func (l VersionLimit) Allows(version string) bool { return !l.limited || l.version == version }

// Version returns the only version that may get the request; empty without a limit.
func (l VersionLimit) Version() string { return l.version }
