package swholder

import (
	"net/http"

	"github.com/sassafraswing/sassafraswing/internal/core/swcell"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/swlife"
	"github.com/sassafraswing/sassafraswing/internal/target/swtarget"
)

// Request is a checked request of a caller.
type Request struct {
	ID       swid.RequestID
	Seq      swid.Seq
	Service  swid.ServiceID
	Cell     swid.CellID
	Tier     swid.Tier
	Org      swid.OrgID
	OrgClass swid.OrgClass
	// Deadline is the instant, on this host's clock, after which the answer has no value.
	Deadline     swclock.Millis
	PromptTokens swid.Tokens
	OutputTokens swid.Tokens
	Prefix       []swid.PrefixHash
	Fingerprint  swid.Fingerprint
	// Parts are the parts of the prompt, where the caller names them.
	Parts []swcell.Part
	// OrgTier is the organisation's own tier, which goes before Tier; the same for all where the operators set none.
	OrgTier swid.Tier
	// ExpectedTokens is the caller's estimate of the output; 0 if it gives none.
	ExpectedTokens swid.Tokens
	// Abandon is the instant at which the caller leaves if there is no output; 0
	// if it waits until the deadline.
	Abandon swclock.Millis
	// Charge is what the request counts towards its organisation's quota.
	Charge int64
	// Objective is the instant by which the first part of the answer should arrive; 0 if there is none.
	Objective swclock.Millis
	// NonIdempotent marks a request that is claimed under IdempotencyKey before
	// it is dispatched, or runs without a claim if it has no key.
	NonIdempotent  bool
	IdempotencyKey string
	// Attempts bounds the targets that the request is sent to; 0 stands for swlife.MaxAttempts.
	Attempts swid.Attempt
	// ResumeElsewhere tells that a broken stream is continued at another target.
	ResumeElsewhere bool
	// KeepsNothing tells that a target which broke a stream off cannot continue
	// it, but would run the request anew.
	KeepsNothing bool
	// RetryFailures tells that another target is tried after one that answered
	// with a failure of its own. It excludes NonIdempotent.
	RetryFailures bool
	// Patience bounds a target's silence before the first part of its answer,
	// while another target may still be tried; 0 leaves it to the owner's estimate.
	Patience swclock.Millis
	// EndsAtDeadline has the caller told at the deadline, also if a
	// non-idempotent request still runs.
	EndsAtDeadline bool
	// Call is what the target is given; the holder fills in the attempt.
	Call swtarget.Request
}

// Sink takes the answer towards the caller. Its calls come from one goroutine.
type Sink interface {
	// Begin is called once, before the first Write.
	// The header is not changed.
	Begin(status int, header http.Header) error
	// Write passes a piece of the answer on; an error means that the caller is gone or too slow.
	Write(data []byte) error
}

// rules returns what the request's life may do.
func (r *Request) rules() swlife.Rules {
	return swlife.Rules{
		NonIdempotent:   r.NonIdempotent,
		Unclaimed:       r.IdempotencyKey == "",
		Attempts:        r.Attempts,
		ResumeElsewhere: r.ResumeElsewhere,
	}
}

// Timing tells when things happened to a request, as spans since it was accepted.
type Timing struct {
	// Queue is the wait for the last grant.
	Queue swclock.Millis
	// FirstToken is 0 if nothing was delivered.
	FirstToken swclock.Millis
	Total      swclock.Millis
	// ExpectedFirst is what the owner expected for the first output of the last
	// attempt when it granted it, since the grant; 0 if no owner granted one.
	ExpectedFirst swclock.Millis
}

// Report is the end of a request.
type Report struct {
	End      swlife.End
	Target   swid.TargetID // of the last attempt; empty if there was none
	Attempts swid.Attempt
	Timing   Timing
	// InTime tells that the whole answer was delivered before the deadline.
	InTime bool
	// Begun tells that part of the answer reached the caller, so that an error can no longer be sent as a status.
	Begun        bool
	PromptTokens swid.Tokens
	OutputTokens swid.Tokens
	CachedTokens swid.Tokens
}
