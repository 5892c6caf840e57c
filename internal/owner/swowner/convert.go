package swowner

import (
	"slices"

	"github.com/sassafraswing/sassafraswing/internal/config/swdoc"
	"github.com/sassafraswing/sassafraswing/internal/core/swcell"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/peer/swlink"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmsg"
)

func requestKey(from swlink.Peer, seq swid.Seq) swcell.Key {
	return swcell.Key{Holder: from.Host, Incarnation: from.Incarnation, Seq: seq}
}

// convertGrantRequest returns the core event of a grant request. It converts the message's time
// spans, which start at now, to instants on this host's clock.
func convertGrantRequest(key swcell.Key, m swmsg.GrantRequest, now swclock.Millis) swcell.GrantRequest {
	objective := swclock.Millis(0)
	if m.Objective > 0 {
		objective = now + m.Objective
	}
	abandon := swclock.Millis(0)
	if m.Abandon > 0 {
		abandon = now + m.Abandon
	}
	return swcell.GrantRequest{
		Abandon:        abandon,
		Key:            key,
		Objective:      objective,
		Parts:          m.Parts,
		ExpectedTokens: m.ExpectedTokens,
		OrgTier:        m.OrgTier,
		Scope:          m.Scope,
		Charge:         m.Charge,
		Attempt:        m.Attempt,
		Tier:           m.Tier,
		Org:            m.Org,
		Deadline:       now + m.Remaining,
		PromptTokens:   m.PromptTokens,
		OutputTokens:   m.OutputTokens,
		Prefix:         m.Prefix,
		Fingerprint:    m.Fingerprint,
		Exclude:        m.Exclude,
		NonIdempotent:  m.NonIdempotent,
		Strikes:        m.Strikes,
		Resumable:      m.Resumable,
		Continuation:   m.Continuation,
		Carry:          m.Carry,
	}
}

func convertDone(key swcell.Key, m swmsg.Done) swcell.Done {
	return swcell.Done{
		Key:          key,
		Attempt:      m.Attempt,
		Target:       m.Target,
		Result:       m.Result,
		PromptTokens: m.PromptTokens,
		OutputTokens: m.OutputTokens,
		CachedTokens: m.CachedTokens,
		FirstToken:   m.FirstToken,
		Total:        m.Total,
		Statement:    m.Statement,
		PathLost:     m.PathLost,
		CarrierLost:  m.CarrierLost,
		TargetFault:  m.TargetFault,
		Unsent:       m.Unsent,
	}
}

// cellTargets returns the targets of a cell.
func cellTargets(d *swdoc.Document, cell swid.CellID) []swdoc.Target {
	var targets []swdoc.Target
	for _, t := range d.Targets {
		region, found := d.RegionOf(t.Zone)
		if found && swid.NewCellID(t.Service, region) == cell {
			targets = append(targets, t)
		}
	}
	return targets
}

// convertDocument returns the core event that configures a cell with its targets and all
// organisations of the document.
func convertDocument(d *swdoc.Document, targets []swdoc.Target) swcell.Configure {
	c := swcell.Configure{
		Targets:       make([]swcell.Target, 0, len(targets)),
		Organisations: make([]swcell.Organisation, 0, len(d.Organisations)),
	}
	for _, t := range targets {
		c.Targets = append(c.Targets, convertTarget(d, t))
	}
	for _, o := range d.Organisations {
		c.Organisations = append(c.Organisations, swcell.Organisation{ID: o.ID, Weight: o.Weight})
	}
	return c
}

func convertTarget(d *swdoc.Document, t swdoc.Target) swcell.Target {
	target := swcell.Target{
		ID:         t.ID,
		Generation: t.Generation,
		State:      swcell.TargetActive,
		Slots:      t.Slots,
		KVTokens:   t.KVTokens,
		Born:       t.Born,
		Version:    t.Version,
		Warmup:     t.Warmup,
	}
	if t.Draining {
		target.State = swcell.TargetDraining
	}
	generation := slices.IndexFunc(d.Generations, func(g swdoc.Generation) bool { return g.ID == t.Generation })
	if generation >= 0 {
		target.PrefillRate = d.Generations[generation].PrefillRate
		target.DecodeRate = d.Generations[generation].DecodeRate
	}
	service := slices.IndexFunc(d.Services, func(s swdoc.Service) bool { return s.ID == t.Service })
	if service >= 0 {
		target.Plain = d.Services[service].Kind == swdoc.KindPlain
		target.ServiceTime = d.Services[service].ServiceTime
	}
	return target
}
