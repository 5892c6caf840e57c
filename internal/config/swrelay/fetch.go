package swrelay

import (
	"slices"

	"github.com/sassafraswing/sassafraswing/internal/config/swdoc"
	"github.com/sassafraswing/sassafraswing/internal/config/swstore"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmsg"
)

// maxRequestedParts is the maximum number of parts in one request.
const maxRequestedParts = 32

// fetch is a version of the document whose parts are being collected.
type fetch struct {
	version version
	// from is the source of the head; parts are requested from it first.
	from source
	// missing lists the parts not yet received; once it is empty, the document is parsed.
	missing []swstore.PartHash
}

// receiveHead handles a head from a peer or the platform, and fetches its parts if it is newer.
func (s *state) receiveHead(now swclock.Millis, from source, head swstore.Head) {
	s.awaitingAnswer = false
	if from == platform {
		s.startupDone = true
	} else {
		s.receiveVersion(now, from.host, head.Version)
	}
	if s.startupDone && s.startFetch(from, head) {
		s.continueFetch(now)
	}
}

// receiveApplied handles a version, with all its parts, that this host itself applied.
func (s *state) receiveApplied(now swclock.Millis, v version) {
	if s.startFetch(platform, v.head) {
		s.fetch.copyShared(v.parts)
		s.fetch.findMissing()
		s.continueFetch(now)
	}
}

// startFetch starts to collect the parts of a version. It reports false if the version
// in force, a rejected one or the one being fetched is at least as new.
func (s *state) startFetch(from source, head swstore.Head) bool {
	if head.Version <= s.current.head.Version || head.Version <= s.rejected {
		return false
	}
	if s.fetch != nil && s.fetch.version.head.Version >= head.Version {
		return false
	}
	old := s.fetch
	s.fetch = &fetch{from: from, version: version{head: head, parts: make(map[swstore.PartHash][]byte, len(head.Parts))}}
	s.fetch.copyShared(s.current.parts)
	if old != nil {
		s.fetch.copyShared(old.version.parts)
	}
	s.fetch.findMissing()
	s.rotation = 0
	return true
}

// copyShared copies those of the given parts that belong to the version.
func (f *fetch) copyShared(parts map[swstore.PartHash][]byte) {
	for _, p := range f.version.head.Parts {
		if data, ok := parts[p.Hash]; ok {
			f.version.parts[p.Hash] = data
		}
	}
}

// findMissing updates the list of missing parts, without duplicates.
func (f *fetch) findMissing() {
	f.missing = nil
	for _, p := range f.version.head.Parts {
		if _, ok := f.version.parts[p.Hash]; !ok && !slices.Contains(f.missing, p.Hash) {
			f.missing = append(f.missing, p.Hash)
		}
	}
}

// receiveParts handles parts from any source, which are identified by their hashes.
func (s *state) receiveParts(now swclock.Millis, parts [][]byte) {
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
		s.expireRequest(now)
		return
	}
	s.awaitingAnswer = false
	s.continueFetch(now)
}

// expireRequest ends the wait for the pending request because its source could not
// answer; the next tick sends the request to the next source.
func (s *state) expireRequest(now swclock.Millis) {
	if s.awaitingAnswer {
		s.requestedAt = min(s.requestedAt, now-requestTimeout)
	}
}

// continueFetch requests missing parts, or parses the document if it is complete.
func (s *state) continueFetch(now swclock.Millis) {
	if len(s.fetch.missing) > 0 {
		s.requestNext(now)
		return
	}
	s.awaitingAnswer = false
	s.startParse()
}

// startParse parses the document if its parts are complete and no other is being parsed.
func (s *state) startParse() {
	if s.parsing || s.fetch == nil || len(s.fetch.missing) > 0 {
		return
	}
	s.parsing = true
	s.addAction(parseDocument{version: s.fetch.version})
}

// finishParse handles the result of parsing; document is nil if it was rejected.
func (s *state) finishParse(now swclock.Millis, v version, document *swdoc.Document) {
	s.parsing = false
	if s.fetch != nil && s.fetch.version.head.Version <= v.head.Version {
		s.fetch = nil
	}
	if document == nil {
		s.rejected = max(s.rejected, v.head.Version)
	} else {
		s.setCurrent(v, document)
	}
	if s.fetch != nil {
		s.startParse()
	} else if s.newestPeerVersion() > s.current.head.Version {
		s.requestNext(now)
	}
}

// requestNext requests missing parts of the version being fetched, or else the head of a
// newer version, from the next source.
func (s *state) requestNext(now swclock.Millis) {
	wanted := s.newestPeerVersion()
	if s.fetch != nil {
		wanted = s.fetch.version.head.Version
	}
	sources := s.sources(wanted)
	from := sources[s.rotation%len(sources)]
	s.awaitingAnswer = true
	s.requestedAt = now
	if s.fetch == nil {
		s.requestHead(from)
		return
	}
	s.requestParts(from)
}

func (s *state) requestHead(from source) {
	if from == platform {
		s.addAction(readHead{})
		return
	}
	s.addAction(sendMessage{to: from.host, message: swmsg.ConfigRequest{Have: s.current.head.Version}})
}

func (s *state) requestParts(from source) {
	hashes := s.fetch.missing[:min(len(s.fetch.missing), maxRequestedParts)]
	if from == platform {
		s.addAction(readParts{hashes: slices.Clone(hashes)})
		return
	}
	names := make([][]byte, 0, len(hashes))
	for _, h := range hashes {
		names = append(names, slices.Clone(h[:]))
	}
	s.addAction(sendMessage{to: from.host, message: swmsg.ConfigRequest{Have: s.current.head.Version, Parts: names}})
}

// sources returns the sources of a version in order of preference: the source of its
// head, the peers known to have it (relays of the own zone first), and the platform.
func (s *state) sources(wanted swid.ConfigVersion) []source {
	var hosts []swid.HostID
	for h, v := range s.newerVersions {
		if v >= wanted {
			hosts = append(hosts, h)
		}
	}
	sortByHash(hosts, string(s.self))
	slices.SortStableFunc(hosts, func(a, b swid.HostID) int { return s.preference(a) - s.preference(b) })
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

// preference returns the sort key of a peer: relays of the own zone come first.
func (s *state) preference(host swid.HostID) int {
	if slices.Contains(s.relays, host) {
		return 0
	}
	return 1
}
