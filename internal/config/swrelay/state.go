package swrelay

import (
	"slices"

	"github.com/sassafraswing/sassafraswing/internal/config/swdoc"
	"github.com/sassafraswing/sassafraswing/internal/config/swstore"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmember"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmsg"
)

const (
	// askTimeout is the wait for an answer before the next source is asked.
	askTimeout = swclock.Second
	// pollInterval separates two questions to a peer without news of a version.
	pollInterval = 2 * swclock.Second
	// relaysPerZone is the number of hosts of an availability zone that watch the platform.
	relaysPerZone = 3
	// maxAnswerBytes bounds the parts in one message between hosts.
	maxAnswerBytes = 512 << 10
)

// source is where a head or parts come from.
type source struct {
	// host is empty for the platform.
	host swid.HostID
}

var platform = source{}

// version is a head with its parts.
type version struct {
	head  swstore.Head
	parts map[swstore.PartHash][]byte
}

// state decides what a host asks of whom, and what comes into force. It is
// pure: the shell feeds it events with the time, and carries out its actions.
type state struct {
	self swid.HostID
	zone swid.ZoneID

	members []swmember.Member
	// relays are those of the host's own zone.
	relays []swid.HostID

	// inForce is the version in force; its head's version never falls.
	inForce version
	// refused is the highest version whose document this host could not use.
	refused swid.ConfigVersion
	// heard holds the peers' versions that are above the one in force.
	heard map[swid.HostID]swid.ConfigVersion
	// fetch is the newer version that is being brought together, or nil.
	fetch *fetch
	// parsing tells that a document is being parsed; one is parsed at a time.
	parsing bool

	// askedAt is when the last question was sent; open tells that its answer may still come.
	askedAt swclock.Millis
	open    bool
	// turn rotates through the sources.
	turn int
	// startedAt is when the platform was first asked, or 0 before.
	startedAt swclock.Millis
	// settled tells that the platform answered, failed, or took too long. A
	// host that starts takes nothing from peers before, because a peer that lags
	// could give it an older version than its earlier process had.
	settled bool
	// polledAt is when a peer was last asked without news of a version.
	polledAt swclock.Millis

	actions []action
}

// action is what the shell carries out.
type action interface{ action() }

// sendMessage sends a message to a host.
type sendMessage struct {
	to      swid.HostID
	message swmsg.Message
}

// readHead reads the head from the platform.
type readHead struct{}

// readParts reads parts from the platform.
type readParts struct{ hashes []swstore.PartHash }

// parseDocument parses a whole document.
type parseDocument struct{ version version }

// setRelay starts or stops watching the platform.
type setRelay struct{ on bool }

// announceInForce makes a document known to the subscribers.
type announceInForce struct{ inForce InForce }

func (sendMessage) action()     {}
func (readHead) action()        {}
func (readParts) action()       {}
func (parseDocument) action()   {}
func (setRelay) action()        {}
func (announceInForce) action() {}

func newState(self swid.HostID, zone swid.ZoneID) *state {
	return &state{self: self, zone: zone, heard: make(map[swid.HostID]swid.ConfigVersion)}
}

// take returns the actions since the last call.
func (s *state) take() []action {
	actions := s.actions
	s.actions = nil
	return actions
}

func (s *state) do(a action) { s.actions = append(s.actions, a) }

// setMembers takes a new list of members.
func (s *state) setMembers(members []swmember.Member) {
	was := s.isRelay()
	s.members = members
	s.relays = chooseRelays(members, s.zone, relaysPerZone)
	for _, m := range members {
		if m.State == swmsg.MemberDead {
			delete(s.heard, m.Host)
		}
	}
	if is := s.isRelay(); is != was {
		s.do(setRelay{on: is})
	}
}

func (s *state) isRelay() bool { return slices.Contains(s.relays, s.self) }

// heardVersion takes a peer's version.
func (s *state) heardVersion(now swclock.Millis, from swid.HostID, v swid.ConfigVersion) {
	if from == s.self {
		return
	}
	if v <= s.inForce.head.Version {
		delete(s.heard, from)
		return
	}
	s.heard[from] = v
	if s.settled && !s.open && s.fetch == nil {
		s.ask(now)
	}
}

// tick lets time pass.
func (s *state) tick(now swclock.Millis) {
	if !s.settled && !s.settle(now) {
		return
	}
	if s.open && now-s.askedAt < askTimeout {
		return
	}
	if s.open {
		s.open = false
		s.turn++
	}
	if s.fetch != nil && len(s.fetch.missing) == 0 {
		return
	}
	if s.fetch != nil || s.newestHeard() > s.inForce.head.Version {
		s.ask(now)
		return
	}
	if now-s.polledAt >= pollInterval || s.polledAt == 0 {
		s.polledAt = max(now, 1)
		s.poll()
	}
}

// settle asks the platform once at the start, and waits for it.
func (s *state) settle(now swclock.Millis) bool {
	if s.startedAt == 0 {
		s.startedAt = max(now, 1)
		s.do(readHead{})
	}
	s.settled = now-s.startedAt >= askTimeout
	return s.settled
}

// platformFailed notes that a read of the platform failed.
func (s *state) platformFailed(now swclock.Millis) {
	s.settled = true
	s.noAnswer(now)
}

// newestHeard returns the highest version heard of that may still be used.
func (s *state) newestHeard() swid.ConfigVersion {
	var newest swid.ConfigVersion
	for _, v := range s.heard {
		if v > s.refused {
			newest = max(newest, v)
		}
	}
	return newest
}

// poll asks one peer for news: mostly a relay of the own zone, at times any
// other host, so that a zone whose relays hear nothing learns from others. A host
// without a document, or without peers, also asks the platform.
func (s *state) poll() {
	s.turn++
	peers := s.pollPeers()
	if len(peers) > 0 {
		s.do(sendMessage{to: peers[s.turn%len(peers)], message: swmsg.ConfigRequest{Have: s.inForce.head.Version}})
	}
	if len(peers) == 0 || s.inForce.head.Version == 0 && s.turn%2 == 0 {
		s.do(readHead{})
	}
}

// pollPeers returns the zone's relays and one host outside the zone.
func (s *state) pollPeers() []swid.HostID {
	peers := without(s.relays, s.self)
	var others []swid.HostID
	for _, m := range s.members {
		if m.Zone != s.zone && m.State == swmsg.MemberAlive {
			others = append(others, m.Host)
		}
	}
	if len(others) > 0 {
		rank(others, string(s.self))
		peers = append(peers, others[s.turn%len(others)])
	}
	return peers
}

func without(hosts []swid.HostID, host swid.HostID) []swid.HostID {
	return slices.DeleteFunc(slices.Clone(hosts), func(h swid.HostID) bool { return h == host })
}

// putInForce takes a parsed document into force, unless a newer one is.
func (s *state) putInForce(v version, document *swdoc.Document) {
	if v.head.Version <= s.inForce.head.Version {
		return
	}
	s.inForce = v
	for host, heard := range s.heard {
		if heard <= v.head.Version {
			delete(s.heard, host)
		}
	}
	s.do(announceInForce{InForce{Version: v.head.Version, Document: document}})
	s.tellPeers()
}

// tellPeers tells the version to those that depend on this host.
func (s *state) tellPeers() {
	if !s.isRelay() {
		s.tell(without(s.relays, s.self))
		return
	}
	var zones []swid.ZoneID
	for _, m := range s.members {
		if m.State == swmsg.MemberDead || m.Host == s.self {
			continue
		}
		if m.Zone == s.zone {
			s.tell([]swid.HostID{m.Host})
		} else if !slices.Contains(zones, m.Zone) {
			zones = append(zones, m.Zone)
		}
	}
	for _, z := range zones {
		s.tell(chooseRelays(s.members, z, 1))
	}
}

func (s *state) tell(hosts []swid.HostID) {
	for _, h := range hosts {
		s.do(sendMessage{to: h, message: swmsg.ConfigDocument{Version: s.inForce.head.Version}})
	}
}

// answer answers a peer's question.
func (s *state) answer(now swclock.Millis, from swid.HostID, r swmsg.ConfigRequest) {
	s.heardVersion(now, from, r.Have)
	held := s.inForce.head
	if len(r.Parts) > 0 {
		s.do(sendMessage{to: from, message: swmsg.ConfigDocument{Version: held.Version, Parts: s.partsOf(r.Parts)}})
	} else if held.Version > r.Have {
		s.do(sendMessage{to: from, message: swmsg.ConfigDocument{Version: held.Version, Document: held.Value}})
	}
}

// partsOf returns the parts that this host has, as many as fit into one message.
func (s *state) partsOf(names [][]byte) [][]byte {
	var parts [][]byte
	size := 0
	for _, name := range names {
		var hash swstore.PartHash
		if len(name) != len(hash) {
			continue
		}
		copy(hash[:], name)
		data, ok := s.inForce.parts[hash]
		if !ok {
			continue
		}
		if size += len(data); size > maxAnswerBytes {
			break
		}
		parts = append(parts, data)
	}
	return parts
}
