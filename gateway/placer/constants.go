package placer

import "time"

const (
	// peerLoadTTL is how long the load of a peer is used after its last report. Peers
	// report at least every second, so one report may be lost.
	peerLoadTTL = 2500 * time.Millisecond
	// cachedPartTTL is how long an unused prompt part is assumed to stay in the cache
	// of an engine. Engines evict the least recently used parts; at the loads of the
	// known deployments that takes some tens of seconds.
	cachedPartTTL = 30 * time.Second
	// maxTrackedParts limits the prompt parts that are remembered per engine.
	maxTrackedParts = 4096
	// maxPrefillProgress limits the estimated prefill progress of a request that has had
	// no event yet, as a share of its uncached tokens: its prefill cannot be complete.
	maxPrefillProgress = 0.9

	// firstEventOverhead is the part of the time to the first event that does not
	// depend on the prompt: network, admission and the first steps of the engine.
	firstEventOverhead = 25 * time.Millisecond
	// A first event is not used as a sample of the prefill speed if fewer than
	// minSampleTokens were to be prefilled or if the prefill took less than
	// minSamplePrefill.
	minSampleTokens  = 400.0
	minSamplePrefill = 5 * time.Millisecond
	// minPrefillSpeed and maxPrefillSpeed bound the estimated prefill speed in tokens
	// per millisecond.
	minPrefillSpeed, maxPrefillSpeed = 1.0, 2000.0
	// speedTimeConstant is the decay time constant of the prefill speed samples. An
	// engine in a fleet yields some samples per second.
	speedTimeConstant = 8 * time.Second
	// priorSpeedSamples is the weight of the prior prefill speed, in samples.
	priorSpeedSamples = 3.0
	// defaultPrefillSpeed is the prior prefill speed in tokens per millisecond if the
	// configuration does not give the throughput.
	defaultPrefillSpeed = 20.0

	// maxMemoryShare is the share of an engine's memory that running requests may need.
	// Beyond it the engine preempts requests in the middle of their streams.
	maxMemoryShare = 0.8

	// failureThreshold is the number of consecutive failures that start a back-off.
	// Single failures are normal: a target may lose a few answers without being down.
	failureThreshold = 3
	// minBackoff and maxBackoff bound the back-off of a failing target. They are short
	// because a restarted target should get requests soon and a probe costs only one
	// request.
	minBackoff = 300 * time.Millisecond
	maxBackoff = 2 * time.Second
	// maxBackoffDoublings limits the shift in the computation of a back-off, so that it
	// does not overflow before the maximum is applied.
	maxBackoffDoublings = 8
	// minMisdirectedBackoff and maxMisdirectedBackoff bound the back-off after a
	// different target answered at the address. The registry drops the entries of ended
	// targets after some seconds, or when it is back after an outage; until then a retry
	// would reach the wrong target again.
	minMisdirectedBackoff = 5 * time.Second
	maxMisdirectedBackoff = time.Minute
	// probeTimeout is the time after which an unfinished probe no longer prevents the
	// next one.
	probeTimeout = 2 * time.Second
	// errorRateWeight is the weight of the newest request in the error rate.
	errorRateWeight = 0.15
	// errorRateTimeConstant is the time constant with which the error rate decays.
	errorRateTimeConstant = 2 * time.Second
)

const (
	// errorPenalty is added to the score of a target all of whose requests fail, and
	// proportionally less at lower error rates. It exceeds the differences that load
	// makes.
	errorPenalty = 2 * time.Second
	// remotePenalty is added for a target in another data centre. Traffic between data
	// centres has a price, which is small compared with that of a late answer.
	remotePenalty = 4 * time.Millisecond
	// recomputePenalty is added for each shared prompt token that an engine would
	// prefill although another engine has it cached. It is several times the prefill
	// time of a token, because the prefill delays all requests at that engine and
	// evicts other cached parts.
	recomputePenalty = 200 * time.Microsecond
	// longPrefillTime is the time after which an engine is assumed to have prefilled a
	// prompt part that it was sent. It suffices for a prompt of many thousand tokens.
	longPrefillTime = 300 * time.Millisecond
	// minCopySpeedup is the factor by which copying cached parts from an engine must be
	// faster than its prefill for the engine to serve as a source, since a copy also
	// uses the link of its source.
	minCopySpeedup = 4.0
	// spillBudgetShare is the share of the first-event budget, and of the event gap
	// limit, within which an engine accepts a prompt that spills: one whose shared parts
	// it has not cached. In a fleet that is busy everywhere, computing the parts again
	// costs more than it gains.
	spillBudgetShare = 0.4
	// spareBudgetShare is the share of the first-event budget, and of the event gap
	// limit, within which an engine accepts requests that may only use spare capacity.
	spareBudgetShare = 0.5
	// lightLoadPrefill limits the mean prefill backlog per engine, as the time to
	// prefill it. Up to this limit, requests restricted to spare capacity may spill.
	lightLoadPrefill = 40 * time.Millisecond
	// negligibleTokens is the number of shared tokens up to which the cost of computing
	// them again does not matter.
	negligibleTokens = 256

	// eventGapTimeConstant is the decay time constant of the gaps between events:
	// longer than several gaps, and short compared with the duration of a stream.
	eventGapTimeConstant = 400 * time.Millisecond
	// minGapEvents is the number of recent events below which the mean gap is unknown.
	minGapEvents = 2
	// gapLimitWeight is the weight of the newest request in the mean event gap limit of
	// a service.
	gapLimitWeight = 0.05
	// rankPenalty is added for an engine that has not cached the shared parts of a
	// prompt, once for each position in the rendezvous order, so that all daemons
	// choose the same next engine when the first one is full.
	rankPenalty = 100 * time.Millisecond
	// samplingThreshold is the number of targets of a service above which a request is
	// assessed only at sampleSize of them, taken in turn, and at the rankedTargets that
	// come first in the rendezvous order for its prompt. Assessing 3,000 targets takes
	// 0.5 ms, and the best of 64 targets taken in turn is hardly worse than the best of
	// all.
	samplingThreshold = 128
	sampleSize        = 64
	// rankedTargets is the number of targets kept from the start of the rendezvous order
	// for a prompt. Its shared parts are seldom cached at more.
	rankedTargets = 6
	// spillWait is how long a request waits for an engine that has its shared parts
	// cached before it may spill.
	spillWait = 120 * time.Millisecond
	// stallPenalty is added for a target that has stopped answering: other targets come
	// first, but it is used before a request is refused.
	stallPenalty = 3 * time.Second
	// fullPenalty is added to the score of a target for fullDuration after it refused a
	// request.
	fullPenalty  = time.Second
	fullDuration = 100 * time.Millisecond

	// idlePrefill is the prefill time of the backlog up to which a target accepts a
	// prompt that cannot meet its objective anywhere.
	idlePrefill = 20 * time.Millisecond

	// minServiceTime is the lower bound of the service time of a plain service, and is
	// assumed before any answer.
	minServiceTime = 5 * time.Millisecond
	// peerRunningTimeConstant is the time constant of the mean number of requests that
	// peers report: several report intervals, so that daemons do not all follow a
	// difference that they have caused themselves.
	peerRunningTimeConstant = 3 * time.Second
	// uncertainTurns is the mean random time, in service times, that is added to the
	// expected time of a target about which all reports are old.
	uncertainTurns = 2.0
	// drawnTargets is the number of random targets of a plain service of which the best
	// one is chosen.
	drawnTargets = 2
	// maxRequestsPerSlot limits the requests at a target of a plain service, as a
	// multiple of its slots. Those beyond the slots wait at the target.
	maxRequestsPerSlot = 3
	// serviceTimeWeight is the weight of the newest request in the mean service time.
	serviceTimeWeight = 0.1
)
