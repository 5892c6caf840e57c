package swlife

// Outcome is the result that is reported to the caller. Every request has exactly one.
type Outcome uint8

// Outcomes.
const (
	// OutcomeAnswered means that the caller received the whole answer.
	OutcomeAnswered Outcome = iota + 1
	// OutcomeNotRun means that no target ran the request.
	OutcomeNotRun
	// OutcomeUnknown means that a target may have run the request, wholly or in part.
	OutcomeUnknown
)

// Cause is the reason why a request ended without an answer.
type Cause uint8

// Causes.
const (
	CauseNone Cause = iota
	// CauseOverload: too little capacity for the request's tier and organisation.
	CauseOverload
	// CauseDeadline: the answer cannot arrive, or did not arrive, in time.
	CauseDeadline
	// CauseNoTarget: no target may run the request.
	CauseNoTarget
	// CauseSuspect: the request's content is suspected of crashing targets.
	CauseSuspect
	// CauseRetryBudget: the retry budget of the cell or of the service is used up.
	CauseRetryBudget
	// CauseTargetFailed: the target failed and the request cannot be repeated.
	CauseTargetFailed
	// CausePreempted: the request was cancelled in favour of one of a higher tier.
	CausePreempted
	// CauseCallerGone: the caller closed its connection.
	CauseCallerGone
	// CauseClaimUnavailable: the platform did not record the claim.
	CauseClaimUnavailable
	// CauseClaimHeld: another request with the same idempotency key holds the claim.
	CauseClaimHeld
	// CauseKeyReused: the idempotency key was used for a request of other content.
	CauseKeyReused
	// CauseShutdown: the host is shutting down.
	CauseShutdown
	// CauseQuota: the organisation's quota is used up.
	CauseQuota
	// CauseVersionUnknown: nothing tells which software version began the stream that is to be continued.
	CauseVersionUnknown
	// CauseVersionGone: no target has the software version that began the stream which is to be continued.
	CauseVersionGone
)

var causeNames = [...]string{
	CauseNone:             "none",
	CauseOverload:         "overload",
	CauseDeadline:         "deadline",
	CauseNoTarget:         "noTarget",
	CauseSuspect:          "suspect",
	CauseRetryBudget:      "retryBudget",
	CauseTargetFailed:     "targetFailed",
	CausePreempted:        "preempted",
	CauseCallerGone:       "callerGone",
	CauseClaimUnavailable: "claimUnavailable",
	CauseClaimHeld:        "claimHeld",
	CauseKeyReused:        "keyReused",
	CauseShutdown:         "shutdown",
	CauseQuota:            "quota",
	CauseVersionUnknown:   "versionUnknown",
	CauseVersionGone:      "versionGone",
}

// String returns the cause's name in logs and metrics.
func (c Cause) String() string { return causeNames[c] }

var outcomeNames = [...]string{
	OutcomeAnswered: "answered",
	OutcomeNotRun:   "notRun",
	OutcomeUnknown:  "unknown",
}

// String returns the outcome's name in errors, logs and metrics.
func (o Outcome) String() string { return outcomeNames[o] }
