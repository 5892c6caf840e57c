package swadmin

import (
	"encoding/json"
	"sync"

	"github.com/pkg/errors"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swring"
)

// followCapacity bounds the events that wait for a slow follower.
const followCapacity = 256

// EventKind says what happened.
type EventKind string

// Kinds of event.
const (
	EventVersion  EventKind = "version"
	EventTarget   EventKind = "target"
	EventCell     EventKind = "cell"
	EventMember   EventKind = "member"
	EventDraining EventKind = "draining"
	// EventGap tells a follower that events were dropped because it read too slowly.
	EventGap EventKind = "gap"
)

// Event is something that operators follow.
type Event struct {
	// At is on the host's own clock, since its process started.
	At      swclock.Millis
	Kind    EventKind
	Subject string
	Text    string
}

// Journal passes events on to the present followers. It is safe for concurrent
// use, and publishing never waits.
type Journal struct {
	mutex     sync.Mutex
	followers map[*follower]struct{}
}

// follower is one reader of the journal.
type follower struct {
	events *swring.Ring[Event]
	// dropped is guarded by the journal's mutex.
	dropped bool
}

// NewJournal returns a journal without followers.
func NewJournal() *Journal { return &Journal{followers: make(map[*follower]struct{})} }

// Publish passes an event on.
func (j *Journal) Publish(e Event) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	for f := range j.followers {
		if f.dropped && f.events.TryPut(Event{At: e.At, Kind: EventGap, Text: "events were dropped"}) {
			f.dropped = false
		}
		if !f.events.TryPut(e) {
			f.dropped = true
		}
	}
}

func (j *Journal) follow() *follower {
	f := &follower{events: swring.New[Event](followCapacity)}
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.followers[f] = struct{}{}
	return f
}

func (j *Journal) leave(f *follower) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	delete(j.followers, f)
}

type wireEvent struct {
	AtMillis int64  `json:"atMillis"`
	Kind     string `json:"kind"`
	Subject  string `json:"subject,omitempty"`
	Text     string `json:"text"`
}

// EncodeEvent returns an event as one line of JSON.
func EncodeEvent(e Event) ([]byte, error) {
	data, err := json.Marshal(wireEvent{AtMillis: int64(e.At), Kind: string(e.Kind), Subject: e.Subject, Text: e.Text})
	return append(data, '\n'), errors.Wrap(err, "encode event")
}

// DecodeEvent reads an event.
func DecodeEvent(line []byte) (Event, error) {
	var w wireEvent
	if err := json.Unmarshal(line, &w); err != nil {
		return Event{}, errors.Wrap(err, "decode event")
	}
	return Event{At: swclock.Millis(w.AtMillis), Kind: EventKind(w.Kind), Subject: w.Subject, Text: w.Text}, nil
}
