package swrelay

import (
	"bytes"
	"fmt"
	"slices"
	"testing"

	"github.com/sassafraswing/sassafraswing/internal/config/swdoc"
	"github.com/sassafraswing/sassafraswing/internal/config/swstore"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmember"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmsg"
)

func TestChooseRelays(t *testing.T) {
	member := func(host, zone string, state swmsg.MemberState) swmember.Member {
		return swmember.Member{Host: swid.HostID(host), Zone: swid.ZoneID(zone), State: state}
	}
	var all, oneAlive []swmember.Member
	for i := range 8 {
		host := fmt.Sprint("h", i)
		all = append(all, member(host, "a", swmsg.MemberAlive))
		state := swmsg.MemberSuspect
		if i == 5 {
			state = swmsg.MemberAlive
		}
		oneAlive = append(oneAlive, member(host, "a", state))
	}
	first := chooseRelays(all, "a", relaysPerZone)
	if len(first) != relaysPerZone {
		t.Fatalf("relays %v", first)
	}
	if got := chooseRelays(oneAlive, "a", relaysPerZone); !slices.Equal(got, []swid.HostID{"h5"}) {
		t.Errorf("a host that suspects all others is no relay: %v", got)
	}
	if got := chooseRelays(all, "b", relaysPerZone); len(got) != 0 {
		t.Errorf("relays of a zone without hosts: %v", got)
	}
	// When one of the relays is removed, the others stay relays.
	left := slices.DeleteFunc(slices.Clone(all), func(m swmember.Member) bool { return m.Host == first[0] })
	if got := chooseRelays(left, "a", relaysPerZone); !slices.Equal(got[:2], first[1:]) {
		t.Errorf("relays %v became %v", first, got)
	}
}

// newVersion returns a version with 26,000 lines. The line at index changed, if there is
// one, has a different weight from the others.
func newVersion(v swid.ConfigVersion, changed int) version {
	var b bytes.Buffer
	for i := range 26_000 {
		weight := 1
		if i == changed {
			weight = 2
		}
		fmt.Fprintf(&b, "  - {id: o%d, weight: %d, keyHashes: [%064x]}\n", i, weight, i)
	}
	made := version{head: swstore.Head{Version: v, Value: []byte("head")}, parts: make(map[swstore.PartHash][]byte)}
	for _, p := range swstore.Split(b.Bytes()) {
		hash := swstore.HashPart(p)
		made.head.Parts = append(made.head.Parts, swstore.Part{Hash: hash, Size: len(p)})
		made.parts[hash] = p
	}
	return made
}

// transfer transfers a version from one state to another. It returns the size of the
// largest answer and of all answers together.
func transfer(t *testing.T, from, to *state, v version) (largest, total int) {
	t.Helper()
	to.receiveHead(0, source{host: from.self}, v.head)
	for range 1000 {
		for _, a := range to.takeActions() {
			switch a := a.(type) {
			case parseDocument:
				to.finishParse(0, a.version, &swdoc.Document{})
				to.takeActions()
				return largest, total
			case sendMessage:
				from.answerRequest(0, to.self, a.message.(swmsg.ConfigRequest))
			}
		}
		for _, a := range from.takeActions() {
			parts := a.(sendMessage).message.(swmsg.ConfigDocument).Parts
			size := len(bytes.Join(parts, nil))
			largest, total = max(largest, size), total+size
			to.receiveParts(0, parts)
		}
	}
	t.Fatal("the version was not transferred")
	return largest, total
}

// TestBoundedMessages transfers a large document and then a change of one line from one
// host to another. It checks the size of the messages.
func TestBoundedMessages(t *testing.T) {
	from, to := newState("a", "z"), newState("b", "z")
	to.platformFailed(0)
	first, second := newVersion(1, -1), newVersion(2, 13_000)
	from.current = first
	largest, total := transfer(t, from, to, first)
	if largest > maxAnswerBytes || to.current.head.Version != 1 {
		t.Errorf("an answer of %d bytes, version %d", largest, to.current.head.Version)
	}
	from.current = second
	_, changed := transfer(t, from, to, second)
	if changed > swstore.MaxPartBytes || to.current.head.Version != 2 {
		t.Errorf("a change of one line took %d bytes of %d, version %d", changed, total, to.current.head.Version)
	}
	t.Logf("whole document: %d bytes, change of one line: %d bytes", total, changed)
}

// TestNextSource checks that a request goes to another source if one does not answer,
// and to the platform as the last one.
func TestNextSource(t *testing.T) {
	s := newState("a", "z")
	s.platformFailed(0)
	s.receiveVersion(0, "b", 4)
	s.receiveVersion(0, "c", 4)
	requested := make(map[string]bool)
	for now := swclock.Millis(0); now < 5*swclock.Second; now += tickInterval {
		s.tick(now)
		for _, a := range s.takeActions() {
			switch a := a.(type) {
			case sendMessage:
				requested[string(a.to)] = true
			case readHead:
				requested["platform"] = true
			}
		}
	}
	if len(requested) != 3 {
		t.Errorf("requests went to %v", requested)
	}
}

// TestStartWithLaggingPeer checks that a starting host does not accept an older version
// from a peer before the platform answers.
func TestStartWithLaggingPeer(t *testing.T) {
	s := newState("a", "z")
	s.tick(1)
	s.takeActions() // discards the read of the platform
	s.receiveVersion(2, "b", 4)
	s.receiveHead(2, source{host: "b"}, swstore.Head{Version: 4})
	s.tick(requestTimeout - 1)
	if actions := s.takeActions(); len(actions) != 0 {
		t.Errorf("took a peer's version before the platform answered: %v", actions)
	}
	s.receiveHead(0, platform, swstore.Head{Version: 5})
	if actions := s.takeActions(); len(actions) != 1 {
		t.Errorf("actions %v", actions)
	} else if p, ok := actions[0].(parseDocument); !ok || p.version.head.Version != 5 {
		t.Errorf("action %v", actions[0])
	}
}

// TestTellPeers checks which hosts a relay sends a new version to.
func TestTellPeers(t *testing.T) {
	var list []swmember.Member
	for _, host := range []swid.HostID{"a0", "a1", "a2", "a3", "a4", "b0", "b1", "c0"} {
		list = append(list, swmember.Member{Host: host, Zone: swid.ZoneID(host[:1]), State: swmsg.MemberAlive})
	}
	relays := chooseRelays(list, "a", relaysPerZone)
	s := newState(relays[0], "a")
	s.setMembers(list)
	s.takeActions()
	s.finishParse(0, version{head: swstore.Head{Version: 5}}, &swdoc.Document{})
	notified := make(map[swid.ZoneID]int)
	for _, a := range s.takeActions() {
		if m, ok := a.(sendMessage); ok && m.message.(swmsg.ConfigDocument).Version == 5 {
			notified[swid.ZoneID(m.to[:1])]++
		}
	}
	if notified["a"] != 4 || notified["b"] != 1 || notified["c"] != 1 {
		t.Errorf("messages per zone: %v", notified)
	}
}

// TestNeverBack checks that the version in force never decreases, whichever way an old
// version arrives.
func TestNeverBack(t *testing.T) {
	s := newState("a", "z")
	s.receiveApplied(0, version{head: swstore.Head{Version: 5}})
	s.finishParse(0, version{head: swstore.Head{Version: 5}}, &swdoc.Document{})
	s.takeActions()
	s.receiveHead(0, platform, swstore.Head{Version: 4})
	s.receiveApplied(0, version{head: swstore.Head{Version: 5}})
	s.finishParse(0, version{head: swstore.Head{Version: 3}}, &swdoc.Document{})
	if actions := s.takeActions(); s.current.head.Version != 5 || len(actions) != 0 {
		t.Errorf("version %d, actions %v", s.current.head.Version, actions)
	}
}
