// Package sworiginlog keeps the origins of streams in the platform's store, so that they outlast the processes
// that know them. Where a service has had one software version for as long as streams may be taken up, its name
// is all that is kept. Where it has several, the streams are written too, in a ring of objects: each write
// has the streams that have begun since the one before.
package sworiginlog

import (
	"cmp"
	"context"
	"math/rand/v2"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/sworigin"
	"github.com/sassafraswing/sassafraswing/internal/store/swobject"
)

// Keys of the objects.
const (
	versionsKey = "versions"
	slotPrefix  = "streams-"
)

const (
	// saveInterval is the time between two writes of an owner. What an owner learned since the latest one is lost
	// if it dies together with the host of the stream.
	saveInterval = 250 * swclock.Millis(1)
	// idleInterval is the time between two looks of a host that owns nothing.
	idleInterval = 2 * swclock.Second
	// loadInterval is the least time between two readings.
	loadInterval = 100 * swclock.Millis(1)
	// slotCount is the number of objects in the ring. With saveInterval they hold more than
	// sworigin.MaxRetention.
	slotCount = 256
	// maxStreams bounds the streams of one object, which has about 11 bytes for each.
	maxStreams = 1 << 15
	// retryInterval is the time after a failed call until the next one, with a random addition of up to as much.
	retryInterval = 500 * swclock.Millis(1)
	// callTimeout bounds one call.
	callTimeout = 1500 * swclock.Millis(1)
)

// Config holds the settings and dependencies of a Keeper.
type Config struct {
	Objects  swobject.Objects
	Register *sworigin.Register
	Clock    swclock.Clock
	// Owner reports whether hosts have their requests scheduled by this one.
	Owner func() bool
	// Reachable reports whether the store can be reached. No call is made while it cannot.
	Reachable func() bool
	Log       zerolog.Logger
}

// Keeper loads the origins of streams into a register, and saves those that the register has of an owner.
type Keeper struct {
	config Config
	owner  bool
	era    swobject.Era
	// versionsRead is set while versionsVersion and stored are those of the object versionsKey.
	versionsRead    bool
	versionsVersion swobject.Version
	stored          map[swid.ServiceID][]sworigin.Origin
	// checked is the register's number of changes when stored was last compared with its versions.
	checked uint64
	// listed is set while slots has the version of each object of the ring, and sequence the highest sequence.
	listed     bool
	slots      [slotCount]swobject.Version
	sequence   uint64
	listedAt   swclock.Millis
	savedAt    swclock.Millis
	nextCallAt swclock.Millis
	wake       chan struct{}
}

// New returns a Keeper that has loaded nothing.
func New(config Config) *Keeper {
	return &Keeper{config: config, listedAt: -loadInterval, savedAt: -saveInterval, wake: make(chan struct{}, 1)}
}

// Wake makes Run look soon, because a stream is asked for that is not known, or this host has become an owner.
func (k *Keeper) Wake() {
	select {
	case k.wake <- struct{}{}:
	default: // already woken
	}
}

// Run loads and saves until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	for {
		interval := idleInterval
		if k.owner || k.config.Register.Wanted() {
			interval = saveInterval
		}
		timer := time.NewTimer(interval.Duration())
		select {
		case <-timer.C:
		case <-k.wake:
		case <-ctx.Done():
			timer.Stop()
			return
		}
		timer.Stop()
		k.Step(ctx)
	}
}

// Step loads what is due, and saves what the register has and the store lacks.
func (k *Keeper) Step(ctx context.Context) {
	now := k.config.Clock.Now()
	owner := k.config.Owner()
	if owner && !k.owner {
		k.versionsRead, k.listed = false, false
	}
	k.owner = owner
	if era := k.config.Objects.Era(); era != k.era {
		k.era, k.versionsRead, k.listed = era, false, false
		k.config.Register.Unsave(now)
	}
	if now < k.nextCallAt || !k.config.Reachable() {
		return
	}
	if !k.versionsRead && !k.loadVersions(ctx) {
		return
	}
	if owner && k.versionsDiffer(now) && !k.saveVersions(ctx, now) {
		return
	}
	unsaved := owner && now-k.savedAt >= saveInterval && len(k.config.Register.Unsaved(1)) > 0
	if now-k.listedAt >= loadInterval && (k.config.Register.Wanted() || unsaved && !k.listed) {
		k.load(ctx)
	}
	if unsaved && k.listed {
		k.save(ctx)
	}
}

// loadVersions reads the versions, and reports whether it could.
func (k *Keeper) loadVersions(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	object, err := k.config.Objects.Get(ctx, versionsKey)
	if err != nil && !errors.Is(err, swobject.ErrNotFound) {
		return k.failed(err, "versions not loaded")
	}
	stored := make(map[swid.ServiceID][]sworigin.Origin)
	if err == nil {
		if stored, err = decodeVersions(object.Value); err != nil {
			k.config.Log.Warn().Err(err).Uint64("version", uint64(object.Version)).Msg("stored versions cannot be read, they are replaced")
		}
	}
	k.config.Register.LoadVersions(stored, k.config.Clock.Now())
	k.stored, k.versionsVersion, k.versionsRead, k.checked = stored, object.Version, true, 0
	k.config.Log.Info().Int("services", len(stored)).Uint64("version", uint64(object.Version)).Bool("owner", k.owner).Msg("software versions loaded")
	return true
}

// versionsDiffer reports whether the register's versions differ from the stored ones.
func (k *Keeper) versionsDiffer(now swclock.Millis) bool {
	versions, changes := k.config.Register.Versions(now)
	if changes == k.checked || reflect.DeepEqual(versions, k.stored) {
		k.checked = changes
		return false
	}
	return true
}

// saveVersions writes the register's versions, and reports whether it did.
func (k *Keeper) saveVersions(ctx context.Context, now swclock.Millis) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	versions, changes := k.config.Register.Versions(now)
	value, err := encodeVersions(versions)
	if err != nil {
		return k.failed(err, "versions not saved")
	}
	version, err := k.config.Objects.Put(ctx, versionsKey, value, k.versionsVersion)
	switch {
	case err == nil:
		k.versionsVersion, k.stored, k.checked, k.versionsRead = version, versions, changes, version != 0
		k.config.Log.Info().Int("services", len(versions)).Int("bytes", len(value)).Uint64("version", uint64(version)).Msg("software versions saved")
		return true
	case errors.Is(err, swobject.ErrConflict):
		k.versionsRead = false // another owner saved its own
		return false
	default:
		k.versionsRead = false // the write may have happened
		return k.failed(err, "versions not saved")
	}
}

// load reads all streams.
func (k *Keeper) load(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	startedAt := k.config.Clock.Now()
	k.listedAt = startedAt
	objects, err := k.config.Objects.List(ctx)
	if err != nil {
		k.failed(err, "streams not loaded")
		return
	}
	var slots []slot
	k.slots = [slotCount]swobject.Version{}
	for _, o := range objects {
		number, isSlot := slotNumber(o.Key)
		if !isSlot {
			continue
		}
		k.slots[number] = o.Version
		s, err := decodeSlot(o.Value)
		if err != nil {
			k.config.Log.Warn().Err(err).Str("key", o.Key).Msg("stored streams cannot be read, they are replaced")
			continue
		}
		slots = append(slots, s)
	}
	// A register that has not room for all keeps those that are added last.
	slices.SortFunc(slots, func(a, b slot) int { return cmp.Compare(a.sequence, b.sequence) })
	k.sequence = 0
	var streams []sworigin.Begun
	for _, s := range slots {
		k.sequence = s.sequence
		streams = append(streams, s.streams...)
	}
	k.config.Register.Load(streams, startedAt, k.config.Clock.Now())
	k.listed = true
	k.config.Log.Info().Int("streams", len(streams)).Int("objects", len(objects)).Bool("owner", k.owner).Msg("streams loaded")
}

// slotNumber returns the number of an object of the ring from its key.
func slotNumber(key string) (int, bool) {
	text, isSlot := strings.CutPrefix(key, slotPrefix)
	number, err := strconv.Atoi(text)
	return number, isSlot && err == nil && 0 <= number && number < slotCount
}

// save writes the streams that have begun since the write before to the next object of the ring.
func (k *Keeper) save(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	k.savedAt = k.config.Clock.Now()
	streams := k.config.Register.Unsaved(maxStreams)
	sequence := k.sequence + 1
	number := int(sequence % slotCount)
	value, err := encodeSlot(sequence, streams)
	if err != nil {
		k.failed(err, "streams not saved")
		return
	}
	version, err := k.config.Objects.Put(ctx, slotPrefix+strconv.Itoa(number), value, k.slots[number])
	switch {
	case err == nil:
		k.slots[number], k.sequence, k.listed = version, sequence, version != 0
		k.config.Register.Saved(len(streams))
		k.config.Log.Info().Int("streams", len(streams)).Int("bytes", len(value)).Uint64("sequence", sequence).Msg("streams saved")
	case errors.Is(err, swobject.ErrConflict):
		k.listed = false // another owner saved its own
	default:
		k.listed = false // the write may have happened
		k.failed(err, "streams not saved")
	}
}

// failed logs a failed call, delays the next one and returns false.
func (k *Keeper) failed(err error, message string) bool {
	k.nextCallAt = k.config.Clock.Now() + retryInterval + swclock.Millis(rand.Int64N(int64(retryInterval)))
	k.config.Log.Warn().Err(err).Msg(message)
	return false
}
