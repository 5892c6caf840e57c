package swclaim

import (
	"crypto/sha256"
	"encoding/binary"

	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

const (
	// retentionPeriods is how many whole periods a claim is kept after the one in which it was recorded.
	retentionPeriods = 24
	// maxShardBytes bounds the encoded claims of a shard; it leaves room below swobject.MaxValueBytes.
	maxShardBytes = 900 << 10
	// answerShardBytes is the size above which a shard keeps no more answers, so
	// that outcomes still find room.
	answerShardBytes = maxShardBytes / 2
	// maxAnswerBytes bounds a recorded answer.
	maxAnswerBytes = 2 << 10
	// maxClaimBytes bounds the rest of an encoded claim.
	maxClaimBytes = 128
	// maxRequestBytes bounds a request id, so that maxClaimBytes holds.
	maxRequestBytes = 64
)

// keyHash identifies a Key. Equal hashes of different keys are not to be expected.
type keyHash [16]byte

func hashKey(k Key) keyHash {
	data := binary.AppendUvarint(nil, uint64(len(k.Org)))
	data = append(data, k.Org...)
	data = append(data, k.Key...)
	sum := sha256.Sum256(data)
	return keyHash(sum[:])
}

// index returns the shard that a key belongs to.
func (h keyHash) index(shards int) int {
	return int(binary.BigEndian.Uint64(h[:]) % uint64(shards))
}

// record is a claim as kept in a shard.
type record struct {
	request     swid.RequestID
	fingerprint swid.Fingerprint
	// age is the shard's age when the claim was recorded.
	age      uint32
	decision Decision // Granted and Mismatch are not set
}

func (r record) size() int {
	return maxClaimBytes + len(r.decision.ContentType) + len(r.decision.Body)
}

// shard is the value of one object. It is changed only by the function apply,
// on a copy that is thrown away unless it was written.
type shard struct {
	// age counts periods; it only rises.
	age     uint32
	records map[keyHash]record
	// bytes bounds the encoded size.
	bytes int
}

func newShard() *shard { return &shard{records: make(map[keyHash]record)} }

func (s *shard) put(h keyHash, r record) {
	if old, ok := s.records[h]; ok {
		s.bytes -= old.size()
	}
	s.records[h] = r
	s.bytes += r.size()
}

// advance starts the next period and drops the claims that are older than their retention.
func (s *shard) advance() {
	s.age++
	for h, r := range s.records {
		if s.age-r.age > retentionPeriods {
			s.bytes -= r.size()
			delete(s.records, h)
		}
	}
}

// finish is an outcome that the claimant reports of its own claim.
type finish struct {
	hash     keyHash
	request  swid.RequestID
	decision Decision
	// fence means that a write of the claim may still be on its way; any write
	// of the shard keeps it from taking effect.
	fence bool
}

// finish records an outcome and reports whether the shard must be written. Only
// the claimant's own claim is changed, and an outcome is recorded once.
func (s *shard) finish(f finish) bool {
	r, ok := s.records[f.hash]
	if !ok || r.request != f.request || r.decision.Outcome != OutcomeUnknown {
		return f.fence && (!ok || r.request != f.request)
	}
	r.decision = Decision{Outcome: f.decision.Outcome}
	if f.decision.Outcome == OutcomeAnswered && s.keepsAnswer(f.decision) {
		r.decision.Status = f.decision.Status
		r.decision.ContentType = f.decision.ContentType
		r.decision.Body = f.decision.Body
	}
	s.put(f.hash, r)
	return true
}

func (s *shard) keepsAnswer(d Decision) bool {
	size := len(d.Body) + len(d.ContentType)
	return size <= maxAnswerBytes && s.bytes+size <= answerShardBytes
}

// verdict is the shard's answer to one claim.
type verdict struct {
	decision Decision
	// full means that the shard has no room for the claim.
	full bool
	// changed means that the decision holds only once the shard is written.
	changed bool
}

// claim decides a claim. A claim that a write with a lost answer recorded is
// recognised by its request id.
func (s *shard) claim(h keyHash, e Entry) verdict {
	r, ok := s.records[h]
	switch {
	case ok && r.request == e.Request && r.decision.Outcome == OutcomeUnknown:
		return verdict{decision: Decision{Granted: true}}
	case ok && r.fingerprint != e.Fingerprint:
		return verdict{decision: Decision{Outcome: r.decision.Outcome, Mismatch: true}}
	case ok && r.decision.Outcome != OutcomeNotRun:
		return verdict{decision: r.decision}
	case !ok && s.bytes+maxClaimBytes > maxShardBytes:
		return verdict{full: true}
	}
	s.put(h, record{request: e.Request, fingerprint: e.Fingerprint, age: s.age, decision: Decision{Outcome: OutcomeUnknown}})
	return verdict{decision: Decision{Granted: true}, changed: true}
}
