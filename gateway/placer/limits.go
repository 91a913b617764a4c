package placer

// RequestLimit is what a target says of the number of requests that it takes.
type RequestLimit struct {
	// Limited is set if the target takes only PerSecond requests per second from all
	// daemons together.
	Limited   bool
	PerSecond float64
}
