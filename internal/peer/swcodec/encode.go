package swcodec

import (
	"github.com/pkg/errors"

	"github.com/sassafraswing/sassafraswing/internal/core/swcell"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/swlimit"
	"github.com/sassafraswing/sassafraswing/internal/core/sworigin"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmsg"
	"github.com/sassafraswing/sassafraswing/internal/peer/swpb"
)

// encode converts a typed message to its protobuf form.
func encode(m swmsg.Message) (*swpb.Message, error) {
	switch m := m.(type) {
	case swmsg.GrantRequest:
		return &swpb.Message{Kind: &swpb.Message_Ask{Ask: encodeGrantRequest(m)}}, nil
	case swmsg.Grant:
		return &swpb.Message{Kind: &swpb.Message_Grant{Grant: encodeGrant(m)}}, nil
	case swmsg.Done:
		return &swpb.Message{Kind: &swpb.Message_Done{Done: encodeDone(m)}}, nil
	case swmsg.Reject:
		return &swpb.Message{Kind: &swpb.Message_GiveUp{GiveUp: encodeReject(m)}}, nil
	case swmsg.Withdraw:
		return &swpb.Message{Kind: &swpb.Message_Withdraw{Withdraw: encodeWithdraw(m)}}, nil
	case swmsg.Preempt:
		return &swpb.Message{Kind: &swpb.Message_Preempt{Preempt: encodePreempt(m)}}, nil
	case swmsg.Redirect:
		return &swpb.Message{Kind: &swpb.Message_Redirect{Redirect: encodeRedirect(m)}}, nil
	case swmsg.InFlight:
		return &swpb.Message{Kind: &swpb.Message_InFlight{InFlight: encodeInFlight(m)}}, nil
	case swmsg.Registration:
		return &swpb.Message{Kind: &swpb.Message_Attach{Attach: encodeRegistration(m)}}, nil
	case swmsg.Leaving:
		return &swpb.Message{Kind: &swpb.Message_Leaving{Leaving: &swpb.Leaving{}}}, nil
	case swmsg.SharedCells:
		s := &swpb.SharedCells{Scheduling: uint32(m.Scheduling), CheckReach: encodeServices(m.CheckReach)}
		return &swpb.Message{Kind: &swpb.Message_SharedCells{SharedCells: s}}, nil
	case swmsg.StoreState:
		return &swpb.Message{Kind: &swpb.Message_StoreState{StoreState: encodeStoreState(m)}}, nil
	case swmsg.TargetList:
		return &swpb.Message{Kind: &swpb.Message_TargetList{TargetList: encodeTargetList(m)}}, nil
	case swmsg.Queued:
		q := &swpb.Queued{Cell: string(m.Cell), Seq: uint64(m.Seq), Attempt: uint32(m.Attempt)}
		return &swpb.Message{Kind: &swpb.Message_Queued{Queued: q}}, nil
	case swmsg.Progress:
		return &swpb.Message{Kind: &swpb.Message_Progress{Progress: encodeProgress(m)}}, nil
	case swmsg.Recover:
		r := &swpb.Recover{Cell: string(m.Cell), Epoch: uint64(m.Epoch)}
		return &swpb.Message{Kind: &swpb.Message_Recover{Recover: r}}, nil
	default:
		return encodeSystem(m)
	}
}

// encodeSystem converts the messages of links, membership and configuration to their protobuf form.
func encodeSystem(m swmsg.Message) (*swpb.Message, error) {
	switch m := m.(type) {
	case swmsg.Hello:
		h := &swpb.Hello{Host: string(m.Host), Incarnation: uint64(m.Incarnation), Crossed: m.Refused, Number: m.Number, Carries: m.Carries}
		return &swpb.Message{Kind: &swpb.Message_Hello{Hello: h}}, nil
	case swmsg.Heartbeat:
		return &swpb.Message{Kind: &swpb.Message_Heartbeat{Heartbeat: encodeHeartbeat(m)}}, nil
	case swmsg.ConfigRequest:
		r := &swpb.ConfigRequest{Have: uint64(m.Have), Parts: m.Parts}
		return &swpb.Message{Kind: &swpb.Message_ConfigRequest{ConfigRequest: r}}, nil
	case swmsg.ConfigDocument:
		d := &swpb.ConfigDocument{Version: uint64(m.Version), Document: m.Document, Parts: m.Parts}
		return &swpb.Message{Kind: &swpb.Message_ConfigDocument{ConfigDocument: d}}, nil
	default:
		return nil, errors.Wrapf(ErrUnknownMessage, "%T", m)
	}
}

func encodeGrantRequest(m swmsg.GrantRequest) *swpb.Ask {
	return &swpb.Ask{
		Cell: string(m.Cell), Seq: uint64(m.Seq), Attempt: uint32(m.Attempt), Tier: uint32(m.Tier), Org: string(m.Org),
		RemainingMillis: int64(m.Remaining), PromptTokens: int64(m.PromptTokens), OutputTokens: int64(m.OutputTokens),
		Prefix: convert(m.Prefix, func(h swid.PrefixHash) uint64 { return uint64(h) }), Fingerprint: uint64(m.Fingerprint),
		Exclude:       convert(m.Exclude, func(t swid.TargetID) string { return string(t) }),
		NonIdempotent: m.NonIdempotent, Insist: m.NoRedirect, Strikes: uint32(m.Strikes),
		ObjectiveMillis: int64(m.Objective), ExpectedTokens: int64(m.ExpectedTokens),
		Charge: m.Charge, AbandonMillis: int64(m.Abandon), OrgTier: uint32(m.OrgTier), Scope: uint32(m.Scope),
		Parts:      convert(m.Parts, func(p swcell.Part) uint64 { return uint64(p.ID) }),
		PartTokens: convert(m.Parts, func(p swcell.Part) int64 { return int64(p.Tokens) }),
		Resumable:  m.Resumable, Continuation: encodeContinuation(m.Continuation), Carry: m.Carry,
	}
}

func encodeServices(services []swid.ServiceID) []string {
	return convert(services, func(s swid.ServiceID) string { return string(s) })
}

// encodeContinuation returns nil unless a stream is continued.
func encodeContinuation(c sworigin.Continuation) *swpb.Continuation {
	if !c.Continues {
		return nil
	}
	return &swpb.Continuation{Stream: uint64(c.Stream), Origin: encodeOrigin(c.Origin)}
}

// encodeOrigin returns nil if the origin is not known.
func encodeOrigin(o sworigin.Origin) *swpb.Origin {
	if !o.Known() {
		return nil
	}
	return &swpb.Origin{Service: string(o.Service), Version: string(o.Version)}
}

// encodeBegun returns nil if no stream has begun whose origin is known.
func encodeBegun(b sworigin.Begun) *swpb.BegunStreams {
	if b.Stream == 0 || !b.Origin.Known() {
		return nil
	}
	return &swpb.BegunStreams{Origin: encodeOrigin(b.Origin), Streams: []uint64{uint64(b.Stream)}, RetentionMillis: int64(b.Retention)}
}

// encodeBegunStreams encodes the streams of each origin together, with the longest retention.
func encodeBegunStreams(streams []sworigin.Begun) []*swpb.BegunStreams {
	var encoded []*swpb.BegunStreams
	byOrigin := make(map[sworigin.Origin]*swpb.BegunStreams)
	for _, b := range streams {
		if !b.Origin.Known() {
			continue
		}
		w := byOrigin[b.Origin]
		if w == nil {
			w = &swpb.BegunStreams{Origin: encodeOrigin(b.Origin)}
			byOrigin[b.Origin] = w
			encoded = append(encoded, w)
		}
		w.Streams = append(w.Streams, uint64(b.Stream))
		w.RetentionMillis = max(w.RetentionMillis, int64(b.Retention))
	}
	return encoded
}

func encodeRegistration(m swmsg.Registration) *swpb.Attach {
	amounts := convert(m.Amounts, func(a swmsg.Amount) *swpb.Amount {
		return &swpb.Amount{Org: string(a.Org), AgeMillis: int64(a.Age), Value: a.Value}
	})
	strikes := convert(m.Strikes, func(s swmsg.Strike) *swpb.Strike {
		return &swpb.Strike{
			Content: uint64(s.Content), Target: string(s.Target),
			StartedAgeMillis: int64(s.StartedAge), EndedAgeMillis: int64(s.EndedAge),
		}
	})
	return &swpb.Attach{
		Fresh: m.Complete, Leaving: m.Leaving, Amounts: amounts, AgeMillis: int64(m.Age),
		Strikes: strikes, Scheduling: uint32(m.Scheduling), Begun: encodeBegunStreams(m.Streams),
		PlainGranted: m.Contention.Granted, PlainContended: m.Contention.Contended,
		Cut:           encodeServices(m.Cut),
		Reached:       convert(m.Reached, func(t swid.TargetID) string { return string(t) }),
		StoreQuestion: m.StoreQuestion, TargetsAfter: uint64(m.TargetsAfter), TargetsEra: uint64(m.TargetsEra),
		RateLimits: convert(m.RateLimits, func(l swmsg.RateLimit) *swpb.TargetRateLimit {
			return &swpb.TargetRateLimit{
				Target: string(l.Target), PerSecond: float64(l.PerSecond), AgeMillis: int64(l.Age),
				Brittle: l.Brittle, MaxRejections: int64(l.MaxRejections),
			}
		}),
		Outcomes: convert(m.Outcomes, encodeOutcome),
	}
}

func encodeOutcome(o swmsg.Outcome) *swpb.Outcome {
	return &swpb.Outcome{
		Service: string(o.Service), Version: string(o.Version), Target: string(o.Target), Born: o.Born, Route: uint64(o.Route), Bad: o.Bad,
		FirstMillis: int64(o.First), TotalMillis: int64(o.Total), PromptTokens: int64(o.PromptTokens), OutputTokens: int64(o.OutputTokens),
		AgeMillis: int64(o.Age),
	}
}

func encodeStoreState(m swmsg.StoreState) *swpb.StoreState {
	return &swpb.StoreState{Question: m.Question, Era: uint64(m.Era), TargetsAfter: uint64(m.TargetsAfter), Kinds: convert(m.Kinds, func(k swmsg.StoreKind) *swpb.StoreKind {
		return &swpb.StoreKind{Kind: k.Kind, Latest: uint64(k.Latest), ConfirmedAgeMillis: int64(k.ConfirmedAge)}
	})}
}

func encodeTargetList(m swmsg.TargetList) *swpb.TargetList {
	return &swpb.TargetList{Era: uint64(m.Era), AsOf: uint64(m.AsOf), Targets: convert(m.Targets, func(t swmsg.ListedTarget) *swpb.ListedTarget {
		return &swpb.ListedTarget{
			Target: string(t.ID), Revision: uint64(t.Revision), Service: string(t.Service), Zone: string(t.Zone), Address: t.Address,
			Slots: int64(t.Slots), Draining: t.Draining, Born: t.Born, Version: string(t.Version), WarmupMillis: int64(t.WarmupRemaining),
		}
	})}
}

func encodeGrant(m swmsg.Grant) *swpb.Grant {
	return &swpb.Grant{
		Cell: string(m.Cell), Seq: uint64(m.Seq), Attempt: uint32(m.Attempt), Target: string(m.Target), Epoch: uint64(m.Epoch),
		FirstTokenMillis: int64(m.FirstToken), TotalMillis: int64(m.Total), Origin: encodeOrigin(m.Origin), Carrier: string(m.Carrier),
	}
}

func encodeDone(m swmsg.Done) *swpb.Done {
	return &swpb.Done{
		Cell: string(m.Cell), Seq: uint64(m.Seq), Attempt: uint32(m.Attempt), Target: string(m.Target),
		Result: uint32(m.Result), PromptTokens: int64(m.PromptTokens), OutputTokens: int64(m.OutputTokens),
		CachedTokens: int64(m.CachedTokens), FirstTokenMillis: int64(m.FirstToken), TotalMillis: int64(m.Total),
		RateLimit: EncodeStatement(m.Statement), PathLost: m.PathLost, CarrierLost: m.CarrierLost,
		TargetFault: m.TargetFault, Unsent: m.Unsent,
	}
}

// EncodeStatement returns nil if there was no answer.
func EncodeStatement(s swlimit.Statement) *swpb.RateLimit {
	if !s.Heard {
		return nil
	}
	return &swpb.RateLimit{
		PerSecond: float64(s.PerSecond), Leaving: s.Leaving, PauseMillis: int64(s.Pause),
		Brittle: s.Brittle, MaxRejections: int64(s.MaxRejections),
	}
}

func encodeReject(m swmsg.Reject) *swpb.GiveUp {
	return &swpb.GiveUp{
		Cell: string(m.Cell), Seq: uint64(m.Seq), Attempt: uint32(m.Attempt), Reason: uint32(m.Reason),
		RetryAfterMillis: int64(m.RetryAfter), Epoch: uint64(m.Epoch),
	}
}

func encodeWithdraw(m swmsg.Withdraw) *swpb.Withdraw {
	return &swpb.Withdraw{Cell: string(m.Cell), Seq: uint64(m.Seq), Attempt: uint32(m.Attempt)}
}

func encodePreempt(m swmsg.Preempt) *swpb.Preempt {
	return &swpb.Preempt{
		Cell: string(m.Cell), Seq: uint64(m.Seq), Attempt: uint32(m.Attempt), Target: string(m.Target),
		RetryAfterMillis: int64(m.RetryAfter), Epoch: uint64(m.Epoch),
	}
}

func encodeRedirect(m swmsg.Redirect) *swpb.Redirect {
	return &swpb.Redirect{Cell: string(m.Cell), Seq: uint64(m.Seq), Attempt: uint32(m.Attempt), Owner: string(m.Owner)}
}

func encodeInFlight(m swmsg.InFlight) *swpb.InFlight {
	return &swpb.InFlight{
		Ask: encodeGrantRequest(m.GrantRequest), Target: string(m.Target), ElapsedMillis: int64(m.Elapsed), Produced: int64(m.Produced),
		Carrier: string(m.Carrier),
	}
}

func encodeProgress(m swmsg.Progress) *swpb.Progress {
	return &swpb.Progress{
		Cell: string(m.Cell), Seq: uint64(m.Seq), Attempt: uint32(m.Attempt), Produced: int64(m.Produced),
		RateLimit: EncodeStatement(m.Statement), Begun: encodeBegun(m.Begun),
	}
}

func encodeHeartbeat(m swmsg.Heartbeat) *swpb.Heartbeat {
	return &swpb.Heartbeat{
		Number: m.Number, ConfigVersion: uint64(m.ConfigVersion), Rumors: convert(m.Updates, encodeMemberUpdate), Reply: m.Reply, View: m.View,
	}
}

func encodeMemberUpdate(u swmsg.MemberUpdate) *swpb.Rumor {
	return &swpb.Rumor{
		Host: string(u.Host), Incarnation: uint64(u.Incarnation), State: uint32(u.State), Round: u.Round,
		Address: u.Address, Zone: string(u.Zone), Region: string(u.Region),
	}
}

// convert applies f to each element of a slice; an empty slice becomes nil.
func convert[A, B any](in []A, f func(A) B) []B {
	if len(in) == 0 {
		return nil
	}
	out := make([]B, len(in))
	for i, a := range in {
		out[i] = f(a)
	}
	return out
}
