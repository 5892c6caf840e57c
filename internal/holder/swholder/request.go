package swholder

import (
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
	// NonIdempotent marks a request that is claimed under IdempotencyKey before it is dispatched.
	NonIdempotent  bool
	IdempotencyKey string
	// Call is what the target is given; the holder fills in the attempt.
	Call swtarget.Request
}

// Sink takes the answer towards the caller. Its calls come from one goroutine.
type Sink interface {
	// Begin is called once, before the first Write.
	Begin(status int, contentType string) error
	// Write passes a piece of the answer on; an error means that the caller is gone or too slow.
	Write(data []byte) error
}

// Timing tells when things happened to a request, as spans since it was accepted.
type Timing struct {
	// Queue is the wait for the last grant.
	Queue swclock.Millis
	// FirstToken is 0 if nothing was delivered.
	FirstToken swclock.Millis
	Total      swclock.Millis
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
