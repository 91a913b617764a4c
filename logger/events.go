package logger

import "log/slog"

// Event is one kind of log record. Numbers are never reused, so that alerts and
// operator documentation can refer to them.
type Event struct {
	// Number is unique in Catalogue.
	Number int
	// Level is the log level of every record of the event.
	Level slog.Level
	// Message is the constant text of the record.
	Message string
	// Action is what an operator has to do; empty if nothing.
	Action string
}

// Events of the daemon's life cycle (1xx), configuration (2xx), membership and
// connections (3xx), scheduling (4xx), requests (5xx) and the platform (6xx).
var (
	DaemonStarted  = Event{101, slog.LevelInfo, "daemon started", ""}
	DaemonReady    = Event{102, slog.LevelInfo, "daemon is ready", ""}
	DaemonStopping = Event{103, slog.LevelInfo, "daemon is stopping", ""}
	DaemonStopped  = Event{104, slog.LevelInfo, "daemon stopped", ""}
	DaemonAborted  = Event{105, slog.LevelWarn, "daemon stopped immediately and aborted its requests", "Send one stop signal and wait for event 104."}
	ListenerFailed = Event{106, slog.LevelError, "listener failed", "Check the address settings and whether another process uses the port."}
	HostFull       = Event{107, slog.LevelWarn, "host has no room for more connections of callers, or has it again", "See OPERATIONS.md, Limits for clients; give the host more file descriptors, or the balancer its weight."}
	ListenerFull   = Event{108, slog.LevelWarn, "listener closes connections because it has too many", "See OPERATIONS.md, Limits for clients; find out who connects to the listener."}

	ConfigApplied      = Event{201, slog.LevelInfo, "configuration applied", ""}
	ConfigRejected     = Event{202, slog.LevelWarn, "configuration change rejected", "Compare versions with monsoonctl fleet status."}
	ConfigLoadFailed   = Event{203, slog.LevelWarn, "configuration could not be loaded from the platform", "Check the table service; peers are asked as well."}
	TargetLeaving      = Event{204, slog.LevelInfo, "target is leaving", ""}
	SnapshotUnreadable = Event{205, slog.LevelWarn, "configuration snapshot is unreadable", "None; an older snapshot is used. Check the object store if it repeats."}
	TargetJoined       = Event{206, slog.LevelInfo, "target joined", ""}
	EntryUnreadable    = Event{207, slog.LevelWarn, "registry entry is unreadable and names no target", "Find the writer of the entry; the others are used."}
	SettingsReloaded   = Event{208, slog.LevelInfo, "settings file reloaded", ""}
	SettingsUnreadable = Event{209, slog.LevelWarn, "settings file could not be read", "Check the file; the settings read before stay in force."}

	MemberJoined      = Event{301, slog.LevelInfo, "member joined", ""}
	MemberLeft        = Event{302, slog.LevelInfo, "member left", "If the host should be up, look at its own log."}
	PeerConnected     = Event{303, slog.LevelDebug, "peer connected", ""}
	PeerDisconnected  = Event{304, slog.LevelDebug, "peer disconnected", ""}
	PeerRejected      = Event{305, slog.LevelWarn, "peer connection rejected", "Check that all daemons have the same fleet secret and different names."}
	IncarnationRaised = Event{306, slog.LevelWarn, "incarnation raised because a peer has seen a larger one", "Check the clock of the host: it went back since an earlier start."}

	ShardAcquired = Event{401, slog.LevelInfo, "shard acquired", ""}
	ShardReleased = Event{402, slog.LevelInfo, "shard released", ""}
	TargetEjected = Event{403, slog.LevelWarn, "target ejected after failures", "Check the target; it is probed and comes back by itself."}
	TargetBack    = Event{404, slog.LevelInfo, "target is back in service", ""}

	DataCentreEvacuated = Event{405, slog.LevelWarn, "data centre is evacuated and its targets get no requests", "None if an operator asked for it; see OPERATIONS.md."}
	DataCentreReopened  = Event{406, slog.LevelInfo, "data centre is no longer evacuated", ""}

	RequestFailed      = Event{501, slog.LevelWarn, "request failed", "Use monsoonctl request explain with the request id."}
	ResponseMismatched = Event{502, slog.LevelError, "response for another request dropped", "Check the target's software; it answers with a wrong request id."}
	StreamBroken       = Event{503, slog.LevelWarn, "stream broke before its end", ""}

	RequestPlaced    = Event{511, slog.LevelInfo, "request placed at a target", ""}
	RequestRejected  = Event{512, slog.LevelInfo, "request rejected by this daemon", "The code, the time waited and the expected time say why."}
	RequestEnded     = Event{513, slog.LevelInfo, "request ended", ""}
	RequestAbandoned = Event{514, slog.LevelInfo, "caller disconnected before its request was read", ""}
	AttemptFailed    = Event{515, slog.LevelWarn, "attempt at a target failed", "Look for other attempts at the same target; sent tells whether it may have run."}
	AttemptRefused   = Event{516, slog.LevelInfo, "target refused a request without running it", ""}
	RecordsDropped   = Event{517, slog.LevelWarn, "request log records dropped to limit the log rate", "Sum the metrics instead; the rate of records is bounded."}
	HostBusy         = Event{518, slog.LevelWarn, "host is busy and refuses a part of its requests", "Give the host more processor time, or the balancer its weight."}
	TargetCrashed    = Event{519, slog.LevelWarn, "target crashed while requests waited for its answer", "Look at the target's own log."}
	PartQuarantined  = Event{520, slog.LevelWarn, "prompt part or request crashes targets and is refused", "Find the requests with the part, or with it as fingerprint, in events 511 and 515 and tell the owners of the account and of the service."}
	PartReleased     = Event{521, slog.LevelInfo, "prompt part or request is no longer refused", ""}
	TargetLimited    = Event{522, slog.LevelWarn, "target limits the rate of its requests", "Look at the target: it says that it is in trouble. The daemons share its limit."}
	TargetUnlimited  = Event{523, slog.LevelInfo, "target no longer limits the rate of its requests", ""}

	TargetAnnouncedLeave = Event{524, slog.LevelInfo, "target announced that it leaves", ""}
	TargetClosed         = Event{525, slog.LevelInfo, "target wants no requests for some time", ""}

	MemoryShort     = Event{526, slog.LevelWarn, "memory is short and requests are refused", "Look at the kinds in monsoondeck_memory_bytes; give the host more memory if they come from ordinary callers."}
	ConnectionEnded = Event{527, slog.LevelInfo, "connection of a caller refused or closed to protect the memory", "The reason says which limit the caller has reached."}

	AccountServed = Event{528, slog.LevelInfo, "requests of a client account in one second", ""}
	HostOverload  = Event{529, slog.LevelInfo, "requests that the busy host refused in one second", ""}

	TargetCold = Event{530, slog.LevelInfo, "target is cold and gets a limited number of requests", ""}
	TargetWarm = Event{531, slog.LevelInfo, "target is no longer cold", ""}

	QuarantineTrial = Event{532, slog.LevelInfo, "request with a part in quarantine is sent as a trial", ""}

	PlatformUnavailable = Event{601, slog.LevelWarn, "platform service is unavailable", "Serving goes on; changes and claims wait until it is back."}
	PlatformAvailable   = Event{602, slog.LevelInfo, "platform service is available", ""}
	StoreRestored       = Event{603, slog.LevelWarn, "platform's store was restored from an older state", "Check that the operator's changes of the last seconds are in force again."}
)

// Catalogue returns every event, ordered by number.
func Catalogue() []Event {
	return []Event{
		DaemonStarted, DaemonReady, DaemonStopping, DaemonStopped, DaemonAborted, ListenerFailed, HostFull, ListenerFull,
		ConfigApplied, ConfigRejected, ConfigLoadFailed, TargetLeaving, SnapshotUnreadable,
		TargetJoined, EntryUnreadable, SettingsReloaded, SettingsUnreadable,
		MemberJoined, MemberLeft, PeerConnected, PeerDisconnected, PeerRejected, IncarnationRaised,
		ShardAcquired, ShardReleased, TargetEjected, TargetBack, DataCentreEvacuated, DataCentreReopened,
		RequestFailed, ResponseMismatched, StreamBroken,
		RequestPlaced, RequestRejected, RequestEnded, RequestAbandoned, AttemptFailed, AttemptRefused, RecordsDropped, HostBusy,
		TargetCrashed, PartQuarantined, PartReleased, TargetLimited, TargetUnlimited, TargetAnnouncedLeave, TargetClosed,
		MemoryShort, ConnectionEnded, AccountServed, HostOverload, TargetCold, TargetWarm, QuarantineTrial,
		PlatformUnavailable, PlatformAvailable, StoreRestored,
	}
}
