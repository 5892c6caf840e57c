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
	// requestTimeout is the maximum wait for an answer before the request goes to
	// the next source, and the maximum wait for the platform at startup.
	requestTimeout = swclock.Second
	// pollInterval is the time between polls of peers while no newer version is known.
	pollInterval = 2 * swclock.Second
	// relaysPerZone is the number of relays that a host chooses in its availability
	// zone; a zone with fewer live members has fewer. Relays watch the platform. While
	// the hosts' member lists differ, a few more hosts may watch it.
	relaysPerZone = 3
	// maxAnswerBytes is the maximum total size of the parts in one message between hosts.
	maxAnswerBytes = 512 << 10
)

// source is a peer or the platform, from which a head or parts come.
type source struct {
	// host is empty for the platform.
	host swid.HostID
}

var platform = source{}

// version is a version of the document: its head and the parts collected so far.
type version struct {
	head  swstore.Head
	parts map[swstore.PartHash][]byte
}

// state decides which requests a host sends to which source, and which document
// comes into force. It performs no I/O and reads no clock: Relay passes it events
// with the current time and executes its actions.
type state struct {
	self swid.HostID
	zone swid.ZoneID

	members []swmember.Member
	// relays are the relays of the host's own zone.
	relays []swid.HostID

	// current is the version in force; the version of its head never decreases.
	current version
	// rejected is the highest version whose document could not be assembled or parsed.
	rejected swid.ConfigVersion
	// newerVersions holds the last version received from each peer, if it is above the one in force.
	newerVersions map[swid.HostID]swid.ConfigVersion
	// fetch is the newer version that is being fetched or parsed, or nil.
	fetch *fetch
	// parsing is whether a document is being parsed; only one is parsed at a time.
	parsing bool

	// requestedAt is when the last request was sent; awaitingAnswer is whether its answer is pending.
	requestedAt    swclock.Millis
	awaitingAnswer bool
	// rotation selects the next source, or the next peer to poll. It increases with each
	// timeout and each poll, and restarts at 0 with each new fetch.
	rotation int
	// startedAt is when the platform was first read, or 0 before that.
	startedAt swclock.Millis
	// startupDone is set once the platform has answered, failed or timed out. Until
	// then a starting host accepts no version from peers, because a lagging peer
	// could send an older version than the host had in force before its restart.
	startupDone bool
	// polledAt is when a peer was last polled.
	polledAt swclock.Millis

	actions []action
}

// action is an action of state that Relay executes.
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

// parseDocument assembles and parses a document.
type parseDocument struct{ version version }

// setWatching starts or stops watching the platform.
type setWatching struct{ on bool }

// publishCurrent publishes a new document in force to the subscribers.
type publishCurrent struct{ document CurrentDocument }

func (sendMessage) action()    {}
func (readHead) action()       {}
func (readParts) action()      {}
func (parseDocument) action()  {}
func (setWatching) action()    {}
func (publishCurrent) action() {}

func newState(self swid.HostID, zone swid.ZoneID) *state {
	return &state{self: self, zone: zone, newerVersions: make(map[swid.HostID]swid.ConfigVersion)}
}

// takeActions returns and clears the actions added since the last call.
func (s *state) takeActions() []action {
	actions := s.actions
	s.actions = nil
	return actions
}

func (s *state) addAction(a action) { s.actions = append(s.actions, a) }

// setMembers replaces the list of members and chooses the relays of the zone again.
func (s *state) setMembers(members []swmember.Member) {
	was := s.isRelay()
	s.members = members
	s.relays = chooseRelays(members, s.zone, relaysPerZone)
	for _, m := range members {
		if m.State == swmsg.MemberDead {
			delete(s.newerVersions, m.Host)
		}
	}
	if is := s.isRelay(); is != was {
		s.addAction(setWatching{on: is})
	}
}

func (s *state) isRelay() bool { return slices.Contains(s.relays, s.self) }

// receiveVersion records the version of a peer if it is above the version in force, and
// then requests the head, unless another request or fetch is in progress.
func (s *state) receiveVersion(now swclock.Millis, from swid.HostID, v swid.ConfigVersion) {
	if from == s.self {
		return
	}
	if v <= s.current.head.Version {
		delete(s.newerVersions, from)
		return
	}
	s.newerVersions[from] = v
	if s.startupDone && !s.awaitingAnswer && s.fetch == nil {
		s.requestNext(now)
	}
}

// tick handles timeouts and polls peers; it is called periodically.
func (s *state) tick(now swclock.Millis) {
	if !s.startupDone && !s.awaitPlatform(now) {
		return
	}
	if s.awaitingAnswer && now-s.requestedAt < requestTimeout {
		return
	}
	if s.awaitingAnswer {
		s.awaitingAnswer = false
		s.rotation++
	}
	if s.fetch != nil && len(s.fetch.missing) == 0 {
		return
	}
	if s.fetch != nil || s.newestPeerVersion() > s.current.head.Version {
		s.requestNext(now)
		return
	}
	if now-s.polledAt >= pollInterval || s.polledAt == 0 {
		s.polledAt = max(now, 1)
		s.poll()
	}
}

// awaitPlatform reads the platform once at startup. It reports whether the wait for
// the answer has timed out.
func (s *state) awaitPlatform(now swclock.Millis) bool {
	if s.startedAt == 0 {
		s.startedAt = max(now, 1)
		s.addAction(readHead{})
	}
	s.startupDone = now-s.startedAt >= requestTimeout
	return s.startupDone
}

// platformFailed handles a failed read of the platform.
func (s *state) platformFailed(now swclock.Millis) {
	s.startupDone = true
	s.expireRequest(now)
}

// newestPeerVersion returns the highest version received from a peer that is above
// the rejected one, or 0.
func (s *state) newestPeerVersion() swid.ConfigVersion {
	var newest swid.ConfigVersion
	for _, v := range s.newerVersions {
		if v > s.rejected {
			newest = max(newest, v)
		}
	}
	return newest
}

// poll requests a newer version from one peer: usually a relay of the own zone, sometimes
// a host of another zone, in case the relays of the own zone receive no updates. A host
// without peers to poll reads the head from the platform instead, and a host without a document
// also reads it there at about every second poll.
func (s *state) poll() {
	s.rotation++
	peers := s.pollPeers()
	if len(peers) > 0 {
		s.addAction(sendMessage{to: peers[s.rotation%len(peers)], message: swmsg.ConfigRequest{Have: s.current.head.Version}})
	}
	if len(peers) == 0 || s.current.head.Version == 0 && s.rotation%2 == 0 {
		s.addAction(readHead{})
	}
}

// pollPeers returns the other relays of the zone and one host outside the zone.
func (s *state) pollPeers() []swid.HostID {
	peers := removeHost(s.relays, s.self)
	var others []swid.HostID
	for _, m := range s.members {
		if m.Zone != s.zone && m.State == swmsg.MemberAlive {
			others = append(others, m.Host)
		}
	}
	if len(others) > 0 {
		sortByHash(others, string(s.self))
		peers = append(peers, others[s.rotation%len(others)])
	}
	return peers
}

func removeHost(hosts []swid.HostID, host swid.HostID) []swid.HostID {
	return slices.DeleteFunc(slices.Clone(hosts), func(h swid.HostID) bool { return h == host })
}

// setCurrent brings a parsed document into force, unless the one in force is at least as new.
func (s *state) setCurrent(v version, document *swdoc.Document) {
	if v.head.Version <= s.current.head.Version {
		return
	}
	s.current = v
	for host, peerVersion := range s.newerVersions {
		if peerVersion <= v.head.Version {
			delete(s.newerVersions, host)
		}
	}
	s.addAction(publishCurrent{CurrentDocument{Version: v.head.Version, Document: document}})
	s.announceVersion()
}

// announceVersion sends the version in force to other hosts. A relay sends it to all
// hosts of its zone that are not dead and to one relay of each other zone. Any other
// host sends it to the relays of its zone.
func (s *state) announceVersion() {
	if !s.isRelay() {
		s.sendVersion(removeHost(s.relays, s.self))
		return
	}
	var zones []swid.ZoneID
	for _, m := range s.members {
		if m.State == swmsg.MemberDead || m.Host == s.self {
			continue
		}
		if m.Zone == s.zone {
			s.sendVersion([]swid.HostID{m.Host})
		} else if !slices.Contains(zones, m.Zone) {
			zones = append(zones, m.Zone)
		}
	}
	for _, z := range zones {
		s.sendVersion(chooseRelays(s.members, z, 1))
	}
}

func (s *state) sendVersion(hosts []swid.HostID) {
	for _, h := range hosts {
		s.addAction(sendMessage{to: h, message: swmsg.ConfigDocument{Version: s.current.head.Version}})
	}
}

// answerRequest answers a peer's request for the head or for parts.
func (s *state) answerRequest(now swclock.Millis, from swid.HostID, r swmsg.ConfigRequest) {
	s.receiveVersion(now, from, r.Have)
	held := s.current.head
	if len(r.Parts) > 0 {
		s.addAction(sendMessage{to: from, message: swmsg.ConfigDocument{Version: held.Version, Parts: s.collectParts(r.Parts)}})
	} else if held.Version > r.Have {
		s.addAction(sendMessage{to: from, message: swmsg.ConfigDocument{Version: held.Version, Document: held.Value}})
	}
}

// collectParts returns the requested parts that this host has, as many as fit into one message.
func (s *state) collectParts(names [][]byte) [][]byte {
	var parts [][]byte
	size := 0
	for _, name := range names {
		var hash swstore.PartHash
		if len(name) != len(hash) {
			continue
		}
		copy(hash[:], name)
		data, ok := s.current.parts[hash]
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
