package swadmin

import (
	"encoding/json"
	"sync"

	"github.com/pkg/errors"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swring"
)

// followerCapacity is the number of events buffered for a slow follower; further events are dropped.
const followerCapacity = 256

// EventKind is the kind of an Event.
type EventKind string

// Kinds of event.
const (
	EventVersion  EventKind = "version"
	EventTarget   EventKind = "target"
	EventCell     EventKind = "cell"
	EventMember   EventKind = "member"
	EventDraining EventKind = "draining"
	// EventGap marks where a follower missed events because it read too slowly.
	EventGap EventKind = "gap"
)

// Event is a state change on a host, sent to the operators that follow it.
type Event struct {
	// At is the time since the host's process started, on its own clock.
	At      swclock.Millis
	Kind    EventKind
	Subject string
	Text    string
}

// EventBroadcaster delivers each event to the followers connected when it is published;
// it stores no past events. It is safe for concurrent use, and publishing never
// waits for a follower.
type EventBroadcaster struct {
	mutex     sync.Mutex
	followers map[*follower]struct{}
}

// follower is a connected reader and its buffered events.
type follower struct {
	events *swring.Ring[Event]
	// dropped is set while a gap event is due. It is guarded by the EventBroadcaster's mutex.
	dropped bool
}

// NewEventBroadcaster returns an EventBroadcaster without followers.
func NewEventBroadcaster() *EventBroadcaster {
	return &EventBroadcaster{followers: make(map[*follower]struct{})}
}

// Publish delivers an event to all followers. A follower whose buffer is full
// misses the event; a later Publish that finds room sends it an EventGap first.
func (b *EventBroadcaster) Publish(e Event) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for f := range b.followers {
		if f.dropped && f.events.TryPut(Event{At: e.At, Kind: EventGap, Text: "events were dropped"}) {
			f.dropped = false
		}
		if !f.events.TryPut(e) {
			f.dropped = true
		}
	}
}

func (b *EventBroadcaster) follow() *follower {
	f := &follower{events: swring.New[Event](followerCapacity)}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.followers[f] = struct{}{}
	return f
}

func (b *EventBroadcaster) unfollow(f *follower) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	delete(b.followers, f)
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

// DecodeEvent parses a line of EncodeEvent.
func DecodeEvent(line []byte) (Event, error) {
	var w wireEvent
	if err := json.Unmarshal(line, &w); err != nil {
		return Event{}, errors.Wrap(err, "decode event")
	}
	return Event{At: swclock.Millis(w.AtMillis), Kind: EventKind(w.Kind), Subject: w.Subject, Text: w.Text}, nil
}
