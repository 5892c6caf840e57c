package swrelay

import (
	"slices"

	"github.com/sassafraswing/sassafraswing/internal/config/swdoc"
	"github.com/sassafraswing/sassafraswing/internal/config/swstore"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmsg"
)

// maxAskedParts bounds the parts named in one request.
const maxAskedParts = 32

// fetch is a version whose parts are being brought together.
type fetch struct {
	version version
	// from is where the head came from; it is asked for the parts first.
	from source
	// missing are the parts not yet here; once it is empty, the document is parsed.
	missing []swstore.PartHash
}

// takeHead takes a head that came from a source.
func (s *state) takeHead(now swclock.Millis, from source, head swstore.Head) {
	s.open = false
	if from == platform {
		s.settled = true
	} else {
		s.heardVersion(now, from.host, head.Version)
	}
	if s.settled && s.accept(from, head) {
		s.advance(now)
	}
}

// takeWhole takes a version with all its parts, which this host itself applied.
func (s *state) takeWhole(now swclock.Millis, v version) {
	if s.accept(platform, v.head) {
		s.fetch.reuse(v.parts)
		s.fetch.findMissing()
		s.advance(now)
	}
}

// accept starts to bring a version together if it is newer than all others.
func (s *state) accept(from source, head swstore.Head) bool {
	if head.Version <= s.inForce.head.Version || head.Version <= s.refused {
		return false
	}
	if s.fetch != nil && s.fetch.version.head.Version >= head.Version {
		return false
	}
	old := s.fetch
	s.fetch = &fetch{from: from, version: version{head: head, parts: make(map[swstore.PartHash][]byte, len(head.Parts))}}
	s.fetch.reuse(s.inForce.parts)
	if old != nil {
		s.fetch.reuse(old.version.parts)
	}
	s.fetch.findMissing()
	s.turn = 0
	return true
}

// reuse takes the parts that the version shares with another.
func (f *fetch) reuse(parts map[swstore.PartHash][]byte) {
	for _, p := range f.version.head.Parts {
		if data, ok := parts[p.Hash]; ok {
			f.version.parts[p.Hash] = data
		}
	}
}

// findMissing lists the missing parts, each once.
func (f *fetch) findMissing() {
	f.missing = nil
	for _, p := range f.version.head.Parts {
		if _, ok := f.version.parts[p.Hash]; !ok && !slices.Contains(f.missing, p.Hash) {
			f.missing = append(f.missing, p.Hash)
		}
	}
}

// takeParts takes parts from any source; each is known by its hash.
func (s *state) takeParts(now swclock.Millis, parts [][]byte) {
	if s.fetch == nil || len(s.fetch.missing) == 0 {
		return
	}
	f := s.fetch
	before := len(f.missing)
	for _, data := range parts {
		if hash := swstore.HashPart(data); slices.Contains(f.missing, hash) {
			f.version.parts[hash] = data
		}
	}
	f.findMissing()
	if len(f.missing) == before {
		s.noAnswer(now)
		return
	}
	s.open = false
	s.advance(now)
}

// noAnswer notes that the source asked last had nothing; the next tick asks another.
func (s *state) noAnswer(now swclock.Millis) {
	if s.open {
		s.askedAt = min(s.askedAt, now-askTimeout)
	}
}

// advance parses a document whose parts are complete, or asks for more.
func (s *state) advance(now swclock.Millis) {
	if len(s.fetch.missing) > 0 {
		s.ask(now)
		return
	}
	s.open = false
	s.parse()
}

// parse parses the complete document, unless another is being parsed.
func (s *state) parse() {
	if s.parsing || s.fetch == nil || len(s.fetch.missing) > 0 {
		return
	}
	s.parsing = true
	s.do(parseDocument{version: s.fetch.version})
}

// parsed takes the result of parsing; the document is nil if it was refused.
func (s *state) parsed(now swclock.Millis, v version, document *swdoc.Document) {
	s.parsing = false
	if s.fetch != nil && s.fetch.version.head.Version <= v.head.Version {
		s.fetch = nil
	}
	if document == nil {
		s.refused = max(s.refused, v.head.Version)
	} else {
		s.putInForce(v, document)
	}
	if s.fetch != nil {
		s.parse()
	} else if s.newestHeard() > s.inForce.head.Version {
		s.ask(now)
	}
}

// ask asks the next source for what is missing.
func (s *state) ask(now swclock.Millis) {
	wanted := s.newestHeard()
	if s.fetch != nil {
		wanted = s.fetch.version.head.Version
	}
	sources := s.sources(wanted)
	from := sources[s.turn%len(sources)]
	s.open = true
	s.askedAt = now
	if s.fetch == nil {
		s.askHead(from)
		return
	}
	s.askParts(from)
}

func (s *state) askHead(from source) {
	if from == platform {
		s.do(readHead{})
		return
	}
	s.do(sendMessage{to: from.host, message: swmsg.ConfigRequest{Have: s.inForce.head.Version}})
}

func (s *state) askParts(from source) {
	hashes := s.fetch.missing[:min(len(s.fetch.missing), maxAskedParts)]
	if from == platform {
		s.do(readParts{hashes: slices.Clone(hashes)})
		return
	}
	names := make([][]byte, 0, len(hashes))
	for _, h := range hashes {
		names = append(names, slices.Clone(h[:]))
	}
	s.do(sendMessage{to: from.host, message: swmsg.ConfigRequest{Have: s.inForce.head.Version, Parts: names}})
}

// sources returns where a version may be had, the best first: where its head came
// from, then the peers known to have it, the own zone's relays first, then the platform.
func (s *state) sources(wanted swid.ConfigVersion) []source {
	var hosts []swid.HostID
	for h, v := range s.heard {
		if v >= wanted {
			hosts = append(hosts, h)
		}
	}
	rank(hosts, string(s.self))
	slices.SortStableFunc(hosts, func(a, b swid.HostID) int { return s.distance(a) - s.distance(b) })
	var sources []source
	if s.fetch != nil {
		sources = append(sources, s.fetch.from)
	}
	for _, h := range hosts {
		if !slices.Contains(sources, source{host: h}) {
			sources = append(sources, source{host: h})
		}
	}
	if !slices.Contains(sources, platform) {
		sources = append(sources, platform)
	}
	return sources
}

// distance prefers the relays of the own zone.
func (s *state) distance(host swid.HostID) int {
	if slices.Contains(s.relays, host) {
		return 0
	}
	return 1
}
