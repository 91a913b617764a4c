package logger

import "log/slog"

// Event is one kind of log record. Numbers are never reused, so that alerts
// and pages for operators can refer to them.
type Event struct {
	// Number is unique in Catalogue.
	Number int
	// Level is the level at which every record of the event is written.
	Level slog.Level
	// Message is the constant text of the record.
	Message string
	// Action tells an operator what to do; it is empty where nothing is needed.
	Action string
}

// Events of the life of a daemon (1xx), configuration (2xx), membership and
// connections (3xx), scheduling (4xx), requests (5xx) and the platform (6xx).
var (
	DaemonStarted  = Event{101, slog.LevelInfo, "daemon started", ""}
	DaemonReady    = Event{102, slog.LevelInfo, "daemon is ready", ""}
	DaemonStopping = Event{103, slog.LevelInfo, "daemon is stopping", ""}
	DaemonStopped  = Event{104, slog.LevelInfo, "daemon stopped", ""}
	DaemonAborted  = Event{105, slog.LevelWarn, "daemon stopped at once and cut requests", "Send one stop signal and wait for event 104."}
	ListenerFailed = Event{106, slog.LevelError, "listener failed", "Check the address settings and whether another process uses the port."}

	ConfigApplied      = Event{201, slog.LevelInfo, "configuration applied", ""}
	ConfigRejected     = Event{202, slog.LevelWarn, "configuration change rejected", "Compare versions with monsoonctl fleet status."}
	ConfigLoadFailed   = Event{203, slog.LevelWarn, "configuration could not be loaded from the platform", "Check the table service; peers are asked as well."}
	TargetLeaving      = Event{204, slog.LevelInfo, "target is leaving", ""}
	SnapshotUnreadable = Event{205, slog.LevelWarn, "configuration snapshot is unreadable", "None; an older snapshot is used. Check the object store if it repeats."}

	MemberJoined     = Event{301, slog.LevelInfo, "member joined", ""}
	MemberLeft       = Event{302, slog.LevelInfo, "member left", "If the host should be up, look at its own log."}
	PeerConnected    = Event{303, slog.LevelDebug, "peer connected", ""}
	PeerDisconnected = Event{304, slog.LevelDebug, "peer disconnected", ""}
	PeerRejected     = Event{305, slog.LevelWarn, "peer connection rejected", "Check that all daemons have the same fleet secret and different names."}

	ShardAcquired = Event{401, slog.LevelInfo, "shard acquired", ""}
	ShardReleased = Event{402, slog.LevelInfo, "shard released", ""}
	TargetEjected = Event{403, slog.LevelWarn, "target ejected after failures", "Check the target; it is probed and comes back by itself."}
	TargetBack    = Event{404, slog.LevelInfo, "target is back in service", ""}

	RequestFailed    = Event{501, slog.LevelWarn, "request failed", "Use monsoonctl request explain with the request id."}
	AnswerMismatched = Event{502, slog.LevelError, "answer for another request dropped", "Check the target's software; it answers with a wrong request id."}
	StreamBroken     = Event{503, slog.LevelWarn, "stream broke before its end", ""}

	PlatformUnavailable = Event{601, slog.LevelWarn, "platform service is unavailable", "Serving goes on; changes and claims wait until it is back."}
	PlatformAvailable   = Event{602, slog.LevelInfo, "platform service is available", ""}
)

// Catalogue returns every event, ordered by number.
func Catalogue() []Event {
	return []Event{
		DaemonStarted, DaemonReady, DaemonStopping, DaemonStopped, DaemonAborted, ListenerFailed,
		ConfigApplied, ConfigRejected, ConfigLoadFailed, TargetLeaving, SnapshotUnreadable,
		MemberJoined, MemberLeft, PeerConnected, PeerDisconnected, PeerRejected,
		ShardAcquired, ShardReleased, TargetEjected, TargetBack,
		RequestFailed, AnswerMismatched, StreamBroken,
		PlatformUnavailable, PlatformAvailable,
	}
}
