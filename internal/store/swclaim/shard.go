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
	// maxShardBytesWithAnswers is the size up to which a shard still stores
	// answers. The rest is left for claims and outcomes without an answer.
	maxShardBytesWithAnswers = maxShardBytes / 2
	// maxAnswerBytes bounds the body and content type of a recorded answer together.
	maxAnswerBytes = 2 << 10
	// maxClaimBytes bounds the encoded size of a claim without its answer.
	maxClaimBytes = 128
	// maxRequestBytes bounds a request id; maxClaimBytes depends on it.
	maxRequestBytes = 64
)

// keyHash identifies a Key. It is the first 128 bits of a SHA-256 hash; equal hashes
// of different keys are so improbable that they are not handled.
type keyHash [16]byte

func hashKey(k Key) keyHash {
	data := binary.AppendUvarint(nil, uint64(len(k.Org)))
	data = append(data, k.Org...)
	data = append(data, k.Key...)
	sum := sha256.Sum256(data)
	return keyHash(sum[:])
}

// index returns the index of the shard that a key belongs to.
func (h keyHash) index(shards int) int {
	return int(binary.BigEndian.Uint64(h[:]) % uint64(shards))
}

// record is a claim as stored in a shard.
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

// shard is the decoded value of one object. ObjectRegistry.commitOnce changes a
// copy and keeps it only if it was written.
type shard struct {
	// age is the number of periods since the shard was created; it never decreases.
	age     uint32
	records map[keyHash]record
	// bytes is an upper bound of the encoded size.
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

// outcomeReport is the outcome that a claimant reports for its own claim.
type outcomeReport struct {
	hash     keyHash
	request  swid.RequestID
	decision Decision
	// fence means that a write of the claim may still be in flight. Any other
	// write of the shard changes its version, so that the late write conflicts.
	fence bool
}

// recordOutcome records an outcome and reports whether the shard must be written. It
// changes only a claim of the same request, and only while that claim's outcome is
// unknown. If the shard has no claim of the request, it must still be written for a
// report with fence set.
func (s *shard) recordOutcome(o outcomeReport) bool {
	r, ok := s.records[o.hash]
	if !ok || r.request != o.request || r.decision.Outcome != OutcomeUnknown {
		return o.fence && (!ok || r.request != o.request)
	}
	r.decision = Decision{Outcome: o.decision.Outcome}
	if o.decision.Outcome == OutcomeAnswered && s.hasRoomForAnswer(o.decision) {
		r.decision.Status = o.decision.Status
		r.decision.ContentType = o.decision.ContentType
		r.decision.Body = o.decision.Body
	}
	s.put(o.hash, r)
	return true
}

// hasRoomForAnswer reports whether the shard can store the answer of a decision.
func (s *shard) hasRoomForAnswer(d Decision) bool {
	size := len(d.Body) + len(d.ContentType)
	return size <= maxAnswerBytes && s.bytes+size <= maxShardBytesWithAnswers
}

// claimResult is the result of claiming a key in a shard.
type claimResult struct {
	decision Decision
	// full means that the shard has no room, so the claim was not added.
	full bool
	// changed means that the decision is valid only after the shard was written.
	changed bool
}

// claim grants or refuses a claim, and adds it to the shard if it is newly granted.
// A claim recorded by an earlier write whose response was lost is recognised by its
// request id and granted again.
func (s *shard) claim(h keyHash, e Entry) claimResult {
	r, ok := s.records[h]
	switch {
	case ok && r.request == e.Request && r.decision.Outcome == OutcomeUnknown:
		return claimResult{decision: Decision{Granted: true}}
	case ok && r.fingerprint != e.Fingerprint:
		return claimResult{decision: Decision{Outcome: r.decision.Outcome, Mismatch: true}}
	case ok && r.decision.Outcome != OutcomeNotRun:
		return claimResult{decision: r.decision}
	case !ok && s.bytes+maxClaimBytes > maxShardBytes:
		return claimResult{full: true}
	}
	s.put(h, record{request: e.Request, fingerprint: e.Fingerprint, age: s.age, decision: Decision{Outcome: OutcomeUnknown}})
	return claimResult{decision: Decision{Granted: true}, changed: true}
}
