package placer

import "time"

const (
	// peerAge is how long the counts of a peer are used after its last report. Peers
	// report at least every second, and one report may be lost.
	peerAge = 2500 * time.Millisecond
	// partAge is how long an engine is expected to keep a prompt part that is not
	// used. Engines evict the least recently used parts; at the loads of the
	// deployments known that takes some tens of seconds.
	partAge = 30 * time.Second
	// maxParts bounds the prompt parts that are remembered of one engine.
	maxParts = 4096
	// maxProgress is the largest share of a request that counts as read before its
	// first event: a request without one cannot be finished.
	maxProgress = 0.9

	// firstEventBase is the time to a first event that does not depend on the prompt:
	// network, admission, the first steps of the engine.
	firstEventBase = 25 * time.Millisecond
	// minSample and minReading are the tokens and the time below which a first event
	// says nothing of the speed of reading.
	minSample  = 400.0
	minReading = 5 * time.Millisecond
	// minSpeed and maxSpeed bound the learnt speed in tokens per millisecond.
	minSpeed, maxSpeed = 1.0, 2000.0
	// speedWindow is the time constant of the samples of the speed of reading: an engine
	// of a fleet has some samples per second.
	speedWindow = 8 * time.Second
	// priorSamples is the number of samples that the speed assumed before any counts as.
	priorSamples = 3.0
	// defaultSpeed is used where the configuration does not tell the throughput, in
	// tokens per millisecond.
	defaultSpeed = 20.0

	// memoryShare is the share of an engine's memory that running requests may need.
	// Beyond it the engine preempts requests in the middle of their streams.
	memoryShare = 0.8

	// minFailures is the number of failures in a row that start a back-off. Single
	// failures are normal: targets lose a few answers without being down.
	minFailures = 3
	// minBackoff and maxBackoff bound the time without requests: a restarted target
	// should get work soon, and a probe costs one request.
	minBackoff = 300 * time.Millisecond
	maxBackoff = 2 * time.Second
	// maxDoublings keeps the shift of the back-off within maxBackoff.
	maxDoublings = 8
	// minAbsence and maxAbsence bound the time without requests after another target
	// answered at the address: the registry drops the entries of ended targets after
	// some seconds, or when it is back after an outage.
	minAbsence = 5 * time.Second
	maxAbsence = time.Minute
	// probeAge is the time after which a single request that has not ended no longer
	// keeps others away.
	probeAge = 2 * time.Second
	// errorWeight is the weight of the newest request in the share of failures.
	errorWeight = 0.15
	// errorWindow is the time in which failures fade.
	errorWindow = 2 * time.Second
)

const (
	// errorPenalty is added to the score of a target all of whose requests fail: more
	// than the difference that load makes.
	errorPenalty = 2 * time.Second
	// remotePenalty is added for a target in another data centre: bytes between data
	// centres have a price that is small beside that of a late answer.
	remotePenalty = 4 * time.Millisecond
	// rereadPenalty is added for each shared prompt token that an engine would read
	// although another one keeps it. It is several times the reading time, because
	// the reading delays all requests there and evicts other parts.
	rereadPenalty = 200 * time.Microsecond
	// readTime is the time in which an engine reads a prompt of many thousand tokens.
	readTime = 300 * time.Millisecond
	// minCopyGain is how much faster than reading copying must be: it also uses the
	// link of the engine that keeps the parts.
	minCopyGain = 4.0
	// spillShare is the part of the allowance, and of the limit of the pace, that an
	// engine may need to take a prompt whose shared parts it does not keep: in a fleet
	// that is busy everywhere, reading parts again costs more than it gains.
	spillShare = 0.4
	// spareShare is the part of the allowance and of the limit of the pace up to which
	// an engine takes requests that only use spare capacity.
	spareShare = 0.5
	// roomyReading is the mean time that engines need for what they have to read, up to
	// which requests that only use spare capacity may have shared parts read again.
	roomyReading = 40 * time.Millisecond
	// spillTokens is the number of shared tokens up to which reading them again does
	// not matter.
	spillTokens = 256

	// paceWindow is the time constant of the mean pause between events: some events
	// long, and short beside the duration of a stream.
	paceWindow = 400 * time.Millisecond
	// minPaceEvents is the number of recent events below which the pause is not known.
	minPaceEvents = 2
	// paceWeight is the weight of the newest request in the limit of the pause.
	paceWeight = 0.05
	// rankPenalty is added for each place in the order of engines for a prompt, so that
	// all daemons take the same next engine when the first one is full.
	rankPenalty = 100 * time.Millisecond
	// sampledFrom is the number of targets of a service from which only sampledTargets
	// and the first ones for the prompt are looked at for a request: 3,000 take 0.5 ms,
	// and the best of 64 in turn is hardly worse than the best of all.
	sampledFrom    = 128
	sampledTargets = 64
	// rankedTargets is the number of targets whose order for a prompt matters: a prompt
	// seldom has shared parts at more.
	rankedTargets = 6
	// spillWait is how long a request waits for an engine that keeps its shared parts.
	spillWait = 120 * time.Millisecond
	// stallPenalty is added for a target that has stopped answering: other targets
	// come first, but it is used before a request is refused.
	stallPenalty = 3 * time.Second
	// fullPenalty is added for a target that refused a request, for fullTime.
	fullPenalty = time.Second
	fullTime    = 100 * time.Millisecond

	// idleReading is the work ahead up to which a target takes a prompt that cannot
	// meet its objective anywhere.
	idleReading = 20 * time.Millisecond

	// minLatency is the service time assumed of a plain service before one is known.
	minLatency = 5 * time.Millisecond
	// maxServiceTurns bounds the requests at a plain service in multiples of its
	// slots; those beyond the slots wait there.
	maxServiceTurns = 3
	// latencyWeight is the weight of the newest request in the service time.
	latencyWeight = 0.1
)
