package swclaim

import (
	"bytes"
	"slices"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/store/swclaimpb"
)

func encodeShard(s *shard) ([]byte, error) {
	w := &swclaimpb.Shard{Age: s.age, Claims: make([]*swclaimpb.Claim, 0, len(s.records))}
	for h, r := range s.records {
		w.Claims = append(w.Claims, &swclaimpb.Claim{
			Hash:        bytes.Clone(h[:]),
			Request:     string(r.request),
			Fingerprint: uint64(r.fingerprint),
			Outcome:     swclaimpb.Outcome(r.decision.Outcome),
			Age:         r.age,
			Status:      uint32(r.decision.Status),
			ContentType: r.decision.ContentType,
			Body:        r.decision.Body,
		})
	}
	slices.SortFunc(w.Claims, func(a, b *swclaimpb.Claim) int { return bytes.Compare(a.Hash, b.Hash) })
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(w)
	return data, errors.Wrap(err, "encode claims")
}

func decodeShard(data []byte) (*shard, error) {
	var w swclaimpb.Shard
	if err := proto.Unmarshal(data, &w); err != nil {
		return nil, errors.Wrap(err, "decode claims")
	}
	s := newShard()
	s.age = w.Age
	for _, c := range w.Claims {
		if len(c.Hash) != len(keyHash{}) {
			return nil, errors.Errorf("claim hash has %d bytes", len(c.Hash))
		}
		s.put(keyHash(c.Hash), record{
			request:     swid.RequestID(c.Request),
			fingerprint: swid.Fingerprint(c.Fingerprint),
			age:         c.Age,
			decision: Decision{
				Outcome:     outcomeOf(c.Outcome),
				Status:      int(c.Status),
				ContentType: c.ContentType,
				Body:        c.Body,
			},
		})
	}
	return s, nil
}

// outcomeOf converts an outcome. A value that this version does not define
// becomes OutcomeUnknown, so that no request with the same key runs again.
func outcomeOf(o swclaimpb.Outcome) Outcome {
	switch o {
	case swclaimpb.Outcome_OUTCOME_ANSWERED:
		return OutcomeAnswered
	case swclaimpb.Outcome_OUTCOME_NOT_RUN:
		return OutcomeNotRun
	default:
		return OutcomeUnknown
	}
}
