package swcodec

import (
	"math"

	"github.com/sassafraswing/sassafraswing/internal/config/swcatalog"
	"github.com/sassafraswing/sassafraswing/internal/core/swcell"
	"github.com/sassafraswing/sassafraswing/internal/core/swcontention"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/sworigin"
	"github.com/sassafraswing/sassafraswing/internal/core/swrollout"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmsg"
	"github.com/sassafraswing/sassafraswing/internal/peer/swpb"
	"github.com/sassafraswing/sassafraswing/internal/store/swobject"
	"github.com/sassafraswing/sassafraswing/internal/store/swwatch"
)

// decode converts a message from its protobuf form and checks its fields.
func decode(w *swpb.Message) (swmsg.Message, error) {
	switch k := w.GetKind().(type) {
	case *swpb.Message_Ask:
		return checked("ask", k.Ask, decodeGrantRequest)
	case *swpb.Message_Grant:
		return checked("grant", k.Grant, decodeGrant)
	case *swpb.Message_Done:
		return checked("done", k.Done, decodeDone)
	case *swpb.Message_GiveUp:
		return checked("giveUp", k.GiveUp, decodeReject)
	case *swpb.Message_Withdraw:
		return checked("withdraw", k.Withdraw, decodeWithdraw)
	case *swpb.Message_Preempt:
		return checked("preempt", k.Preempt, decodePreempt)
	case *swpb.Message_Redirect:
		return checked("redirect", k.Redirect, decodeRedirect)
	case *swpb.Message_InFlight:
		return checked("inFlight", k.InFlight, decodeInFlight)
	case *swpb.Message_Progress:
		return checked("progress", k.Progress, decodeProgress)
	case *swpb.Message_Attach:
		return checked("attach", k.Attach, decodeRegistration)
	case *swpb.Message_Leaving:
		return swmsg.Leaving{}, nil
	case *swpb.Message_SharedCells:
		return checked("sharedCells", k.SharedCells, decodeSharedCells)
	case *swpb.Message_StoreState:
		return checked("storeState", k.StoreState, decodeStoreState)
	case *swpb.Message_TargetList:
		return checked("targetList", k.TargetList, decodeTargetList)
	case *swpb.Message_Queued:
		return checked("queued", k.Queued, decodeQueued)
	case *swpb.Message_Recover:
		return checked("recover", k.Recover, decodeRecover)
	case *swpb.Message_Hello:
		return checked("hello", k.Hello, decodeHello)
	case *swpb.Message_Heartbeat:
		return checked("heartbeat", k.Heartbeat, decodeHeartbeat)
	case *swpb.Message_ConfigRequest:
		return checked("configRequest", k.ConfigRequest, decodeConfigRequest)
	case *swpb.Message_ConfigDocument:
		return checked("configDocument", k.ConfigDocument, decodeConfigDocument)
	default:
		return nil, ErrUnknownMessage
	}
}

// checked decodes one message with f and returns a FieldError for the first field that is
// out of range, if any.
func checked[W any, M swmsg.Message](name string, w W, f func(*checker, W) M) (swmsg.Message, error) {
	c := &checker{message: name}
	m := f(c, w)
	if c.err != nil {
		return nil, c.err
	}
	return m, nil
}

func decodeGrantRequest(c *checker, w *swpb.Ask) swmsg.GrantRequest {
	c.listLength("prefix", len(w.GetPrefix()), MaxPrefixes)
	c.listLength("exclude", len(w.GetExclude()), MaxExclude)
	if c.err != nil {
		return swmsg.GrantRequest{}
	}
	return swmsg.GrantRequest{
		Cell: cell(c, w.GetCell()), Seq: swid.Seq(w.GetSeq()), Attempt: swid.Attempt(w.GetAttempt()),
		Tier: tier(c, w.GetTier()), OrgTier: tier(c, w.GetOrgTier()), Scope: swid.PromptScope(w.GetScope()), Org: swid.OrgID(c.optionalText("org", w.GetOrg())),
		Remaining:    duration(c, "remainingMillis", w.GetRemainingMillis()),
		PromptTokens: tokens(c, "promptTokens", w.GetPromptTokens()),
		OutputTokens: tokens(c, "outputTokens", w.GetOutputTokens()),
		Prefix:       convert(w.GetPrefix(), func(h uint64) swid.PrefixHash { return swid.PrefixHash(h) }),
		Fingerprint:  swid.Fingerprint(w.GetFingerprint()),
		Exclude: convert(w.GetExclude(), func(t string) swid.TargetID {
			return swid.TargetID(c.requiredText("exclude", t))
		}),
		NonIdempotent: w.GetNonIdempotent(), NoRedirect: w.GetInsist(),
		Strikes:        uint8(c.inRange("strikes", w.GetStrikes(), 0, math.MaxUint8)),
		Objective:      duration(c, "objectiveMillis", w.GetObjectiveMillis()),
		Parts:          decodePromptParts(c, w),
		ExpectedTokens: tokens(c, "expectedTokens", w.GetExpectedTokens()),
		Charge:         nonNegative(c, "charge", w.GetCharge()),
		Abandon:        duration(c, "abandonMillis", w.GetAbandonMillis()),
		Resumable:      w.GetResumable(), Continuation: decodeContinuation(c, w.GetContinuation()), Carry: w.GetCarry(),
	}
}

func decodeContinuation(c *checker, w *swpb.Continuation) sworigin.Continuation {
	if w == nil {
		return sworigin.Continuation{}
	}
	return sworigin.Continuation{Continues: true, Stream: sworigin.Stream(w.GetStream()), Origin: origin(c, w.GetOrigin())}
}

// decodeBegun decodes the stream that an attempt has begun, if it has.
func decodeBegun(c *checker, w *swpb.BegunStreams) sworigin.Begun {
	c.listLength("begun", len(w.GetStreams()), 1)
	if c.err != nil || len(w.GetStreams()) == 0 {
		return sworigin.Begun{}
	}
	return decodeBegunStreams(c, []*swpb.BegunStreams{w})[0]
}

func decodeBegunStreams(c *checker, encoded []*swpb.BegunStreams) []sworigin.Begun {
	var streams []sworigin.Begun
	for _, w := range encoded {
		c.listLength("begun", len(streams)+len(w.GetStreams()), MaxBegunStreams)
		c.check("origin", w.GetOrigin() != nil)
		retention := duration(c, "retentionMillis", w.GetRetentionMillis())
		if c.err != nil {
			return nil
		}
		for _, s := range w.GetStreams() {
			streams = append(streams, sworigin.Begun{Stream: sworigin.Stream(s), Origin: origin(c, w.GetOrigin()), Retention: retention})
		}
	}
	return streams
}

func decodePromptParts(c *checker, w *swpb.Ask) []swcell.Part {
	ids, sizes := w.GetParts(), w.GetPartTokens()
	if len(ids) == 0 && len(sizes) == 0 {
		return nil
	}
	c.listLength("parts", len(ids), MaxPromptParts)
	if len(ids) != len(sizes) {
		c.check("partTokens", false)
		return nil
	}
	parts := make([]swcell.Part, len(ids))
	for i := range ids {
		parts[i] = swcell.Part{ID: swid.PrefixHash(ids[i]), Tokens: tokens(c, "partTokens", sizes[i])}
	}
	return parts
}

func decodeQueued(c *checker, w *swpb.Queued) swmsg.Queued {
	return swmsg.Queued{Cell: cell(c, w.GetCell()), Seq: swid.Seq(w.GetSeq()), Attempt: swid.Attempt(w.GetAttempt())}
}

func decodeRegistration(c *checker, w *swpb.Attach) swmsg.Registration {
	c.listLength("amounts", len(w.GetAmounts()), MaxAmounts)
	c.listLength("strikes", len(w.GetStrikes()), MaxStrikes)
	c.listLength("reached", len(w.GetReached()), MaxReached)
	c.listLength("rateLimits", len(w.GetRateLimits()), MaxRateLimits)
	c.listLength("outcomes", len(w.GetOutcomes()), MaxOutcomes)
	if c.err != nil {
		return swmsg.Registration{}
	}
	amounts := convert(w.GetAmounts(), func(a *swpb.Amount) swmsg.Amount {
		return swmsg.Amount{
			Org: swid.OrgID(c.requiredText("org", a.GetOrg())), Age: duration(c, "ageMillis", a.GetAgeMillis()),
			Value: nonNegative(c, "value", a.GetValue()),
		}
	})
	strikes := convert(w.GetStrikes(), func(s *swpb.Strike) swmsg.Strike {
		return swmsg.Strike{
			Content: swid.Fingerprint(s.GetContent()), Target: target(c, s.GetTarget()),
			StartedAge: duration(c, "startedAgeMillis", s.GetStartedAgeMillis()), EndedAge: duration(c, "endedAgeMillis", s.GetEndedAgeMillis()),
		}
	})
	return swmsg.Registration{
		Complete: w.GetFresh(), Leaving: w.GetLeaving(), Amounts: amounts, Age: duration(c, "ageMillis", w.GetAgeMillis()),
		Strikes: strikes, Scheduling: scheduling(c, w.GetScheduling()), Streams: decodeBegunStreams(c, w.GetBegun()),
		Contention:    swcontention.Counts{Granted: w.GetPlainGranted(), Contended: w.GetPlainContended()},
		Cut:           services(c, "cut", w.GetCut()),
		Reached:       convert(w.GetReached(), func(t string) swid.TargetID { return target(c, t) }),
		StoreQuestion: w.GetStoreQuestion(), TargetsAfter: swwatch.Revision(w.GetTargetsAfter()), TargetsEra: swobject.Era(w.GetTargetsEra()),
		RateLimits: convert(w.GetRateLimits(), func(l *swpb.TargetRateLimit) swmsg.RateLimit {
			return swmsg.RateLimit{
				Target: target(c, l.GetTarget()), PerSecond: requestRate(c, l.GetPerSecond()), Age: duration(c, "ageMillis", l.GetAgeMillis()),
				Brittle: l.GetBrittle(), MaxRejections: maxRejections(c, l.GetMaxRejections()),
			}
		}),
		Outcomes: convert(w.GetOutcomes(), func(o *swpb.Outcome) swmsg.Outcome { return decodeOutcome(c, o) }),
	}
}

func decodeOutcome(c *checker, w *swpb.Outcome) swmsg.Outcome {
	return swmsg.Outcome{
		Service: swid.ServiceID(c.requiredText("service", w.GetService())), Version: swid.SoftwareVersion(c.optionalText("version", w.GetVersion())),
		Target: target(c, w.GetTarget()), Born: w.GetBorn(), Route: swrollout.Route(w.GetRoute()), Bad: w.GetBad(),
		First: duration(c, "firstMillis", w.GetFirstMillis()), Total: duration(c, "totalMillis", w.GetTotalMillis()),
		PromptTokens: tokens(c, "promptTokens", w.GetPromptTokens()), OutputTokens: tokens(c, "outputTokens", w.GetOutputTokens()),
		Age: duration(c, "ageMillis", w.GetAgeMillis()),
	}
}

func decodeSharedCells(c *checker, w *swpb.SharedCells) swmsg.SharedCells {
	return swmsg.SharedCells{Scheduling: scheduling(c, w.GetScheduling()), CheckReach: services(c, "checkReach", w.GetCheckReach())}
}

func decodeStoreState(c *checker, w *swpb.StoreState) swmsg.StoreState {
	c.listLength("kinds", len(w.GetKinds()), MaxStoreKinds)
	if c.err != nil {
		return swmsg.StoreState{}
	}
	kinds := convert(w.GetKinds(), func(k *swpb.StoreKind) swmsg.StoreKind {
		return swmsg.StoreKind{
			Kind: c.requiredText("kind", k.GetKind()), Latest: swwatch.Revision(k.GetLatest()),
			ConfirmedAge: duration(c, "confirmedAgeMillis", k.GetConfirmedAgeMillis()),
		}
	})
	return swmsg.StoreState{
		Question: w.GetQuestion(), Era: swobject.Era(w.GetEra()), TargetsAfter: swwatch.Revision(w.GetTargetsAfter()), Kinds: kinds,
	}
}

func decodeTargetList(c *checker, w *swpb.TargetList) swmsg.TargetList {
	c.listLength("targets", len(w.GetTargets()), MaxListedTargets)
	if c.err != nil {
		return swmsg.TargetList{}
	}
	return swmsg.TargetList{Era: swobject.Era(w.GetEra()), AsOf: swwatch.Revision(w.GetAsOf()), Targets: convert(w.GetTargets(), func(t *swpb.ListedTarget) swmsg.ListedTarget {
		return swmsg.ListedTarget{Revision: swwatch.Revision(t.GetRevision()), Target: swcatalog.Target{
			ID: target(c, t.GetTarget()), Service: swid.ServiceID(c.requiredText("service", t.GetService())),
			Zone: swid.ZoneID(c.optionalText("zone", t.GetZone())), Address: c.requiredText("address", t.GetAddress()),
			Slots: int(nonNegative(c, "slots", t.GetSlots())), Draining: t.GetDraining(), Born: t.GetBorn(),
			Version:         swid.SoftwareVersion(c.optionalText("version", t.GetVersion())),
			WarmupRemaining: duration(c, "warmupMillis", t.GetWarmupMillis()),
		}}
	})}
}

func decodeGrant(c *checker, w *swpb.Grant) swmsg.Grant {
	return swmsg.Grant{
		Cell: cell(c, w.GetCell()), Seq: swid.Seq(w.GetSeq()), Attempt: swid.Attempt(w.GetAttempt()),
		Target: target(c, w.GetTarget()), Epoch: swid.Epoch(w.GetEpoch()),
		FirstToken: duration(c, "firstTokenMillis", w.GetFirstTokenMillis()),
		Total:      duration(c, "totalMillis", w.GetTotalMillis()),
		Origin:     origin(c, w.GetOrigin()),
		Carrier:    swid.HostID(c.optionalText("carrier", w.GetCarrier())),
	}
}

func decodeDone(c *checker, w *swpb.Done) swmsg.Done {
	return swmsg.Done{
		Cell: cell(c, w.GetCell()), Seq: swid.Seq(w.GetSeq()), Attempt: swid.Attempt(w.GetAttempt()),
		Target:       target(c, w.GetTarget()),
		Result:       swcell.Result(c.inRange("result", w.GetResult(), uint32(swcell.ResultAnswered), uint32(swcell.ResultFailed))),
		PromptTokens: tokens(c, "promptTokens", w.GetPromptTokens()),
		OutputTokens: tokens(c, "outputTokens", w.GetOutputTokens()),
		CachedTokens: tokens(c, "cachedTokens", w.GetCachedTokens()),
		FirstToken:   duration(c, "firstTokenMillis", w.GetFirstTokenMillis()),
		Total:        duration(c, "totalMillis", w.GetTotalMillis()),
		Statement:    statement(c, w.GetRateLimit()), PathLost: w.GetPathLost(), CarrierLost: w.GetCarrierLost(),
		TargetFault: w.GetTargetFault(), Unsent: w.GetUnsent(),
	}
}

func decodeReject(c *checker, w *swpb.GiveUp) swmsg.Reject {
	return swmsg.Reject{
		Cell: cell(c, w.GetCell()), Seq: swid.Seq(w.GetSeq()), Attempt: swid.Attempt(w.GetAttempt()),
		Reason:     swcell.RejectReason(c.inRange("reason", w.GetReason(), uint32(swcell.ReasonDeadline), uint32(swcell.ReasonVersionGone))),
		RetryAfter: duration(c, "retryAfterMillis", w.GetRetryAfterMillis()), Epoch: swid.Epoch(w.GetEpoch()),
	}
}

func decodeWithdraw(c *checker, w *swpb.Withdraw) swmsg.Withdraw {
	return swmsg.Withdraw{
		Cell: cell(c, w.GetCell()), Seq: swid.Seq(w.GetSeq()), Attempt: swid.Attempt(w.GetAttempt()),
	}
}

func decodePreempt(c *checker, w *swpb.Preempt) swmsg.Preempt {
	return swmsg.Preempt{
		Cell: cell(c, w.GetCell()), Seq: swid.Seq(w.GetSeq()), Attempt: swid.Attempt(w.GetAttempt()),
		Target:     target(c, w.GetTarget()),
		RetryAfter: duration(c, "retryAfterMillis", w.GetRetryAfterMillis()), Epoch: swid.Epoch(w.GetEpoch()),
	}
}

func decodeRedirect(c *checker, w *swpb.Redirect) swmsg.Redirect {
	return swmsg.Redirect{
		Cell: cell(c, w.GetCell()), Seq: swid.Seq(w.GetSeq()), Attempt: swid.Attempt(w.GetAttempt()),
		Owner: swid.HostID(c.requiredText("owner", w.GetOwner())),
	}
}

func decodeInFlight(c *checker, w *swpb.InFlight) swmsg.InFlight {
	return swmsg.InFlight{
		GrantRequest: decodeGrantRequest(c, w.GetAsk()), Target: target(c, w.GetTarget()),
		Elapsed: duration(c, "elapsedMillis", w.GetElapsedMillis()), Produced: tokens(c, "produced", w.GetProduced()),
		Carrier: swid.HostID(c.optionalText("carrier", w.GetCarrier())),
	}
}

func decodeProgress(c *checker, w *swpb.Progress) swmsg.Progress {
	return swmsg.Progress{
		Cell: cell(c, w.GetCell()), Seq: swid.Seq(w.GetSeq()), Attempt: swid.Attempt(w.GetAttempt()),
		Produced: tokens(c, "produced", w.GetProduced()), Statement: statement(c, w.GetRateLimit()),
		Begun: decodeBegun(c, w.GetBegun()),
	}
}

func decodeRecover(c *checker, w *swpb.Recover) swmsg.Recover {
	return swmsg.Recover{Cell: cell(c, w.GetCell()), Epoch: swid.Epoch(w.GetEpoch())}
}

func decodeHello(c *checker, w *swpb.Hello) swmsg.Hello {
	return swmsg.Hello{
		Host:        swid.HostID(c.requiredText("host", w.GetHost())),
		Incarnation: swid.Incarnation(w.GetIncarnation()), Refused: w.GetCrossed(), Number: w.GetNumber(), Carries: w.GetCarries(),
	}
}

func decodeHeartbeat(c *checker, w *swpb.Heartbeat) swmsg.Heartbeat {
	c.listLength("rumors", len(w.GetRumors()), MaxMemberUpdates)
	if c.err != nil {
		return swmsg.Heartbeat{}
	}
	return swmsg.Heartbeat{
		Number: w.GetNumber(), ConfigVersion: swid.ConfigVersion(w.GetConfigVersion()), Reply: w.GetReply(), View: w.GetView(),
		Updates: convert(w.GetRumors(), func(r *swpb.Rumor) swmsg.MemberUpdate { return decodeMemberUpdate(c, r) }),
	}
}

func decodeConfigRequest(c *checker, w *swpb.ConfigRequest) swmsg.ConfigRequest {
	c.listLength("parts", len(w.GetParts()), MaxDocumentParts)
	return swmsg.ConfigRequest{Have: swid.ConfigVersion(w.GetHave()), Parts: w.GetParts()}
}

func decodeConfigDocument(c *checker, w *swpb.ConfigDocument) swmsg.ConfigDocument {
	c.listLength("parts", len(w.GetParts()), MaxDocumentParts)
	return swmsg.ConfigDocument{
		Version: swid.ConfigVersion(w.GetVersion()), Document: w.GetDocument(), Parts: w.GetParts(),
	}
}

func decodeMemberUpdate(c *checker, w *swpb.Rumor) swmsg.MemberUpdate {
	return swmsg.MemberUpdate{
		Host: swid.HostID(c.requiredText("host", w.GetHost())), Incarnation: swid.Incarnation(w.GetIncarnation()),
		State: swmsg.MemberState(c.inRange("state", w.GetState(), uint32(swmsg.MemberAlive), uint32(swmsg.MemberDead))),
		Round: w.GetRound(), Address: c.optionalText("address", w.GetAddress()),
		Zone: swid.ZoneID(c.optionalText("zone", w.GetZone())), Region: swid.RegionID(c.optionalText("region", w.GetRegion())),
	}
}
