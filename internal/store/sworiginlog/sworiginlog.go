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
	"github.com/sourcegraph/conc"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
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
	// Refresh reads from the store which versions serve, and passes them to the register. Nil does nothing.
	Refresh func(context.Context) error
	// ReregisterWithin is the time after the store was set back within which targets are listed again.
	ReregisterWithin swclock.Millis
	Log              zerolog.Logger
}

// Keeper loads the origins of streams into a register, and saves those that the register has of an owner.
type Keeper struct {
	config Config
	owner  bool
	era    swobject.Era
	// versionsRead is set while versionsVersion and stored are those of the object versionsKey.
	versionsRead    bool
	versionsVersion swobject.Version
	stored          versions
	// completeFrom is when stored and the lists of targets have all versions, although the store may have been set
	// back. It is meaningless until eraChecked is set for the present era.
	completeFrom swclock.Millis
	eraChecked   bool
	confirmedAt  swclock.Millis
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
	if config.Refresh == nil {
		config.Refresh = func(context.Context) error { return nil }
	}
	return &Keeper{config: config, confirmedAt: -loadInterval, listedAt: -loadInterval, savedAt: -saveInterval, wake: make(chan struct{}, 1)}
}

// Wake makes Run look soon, because a stream is asked for that is not known, a version has begun to serve, or this
// host has become an owner.
func (k *Keeper) Wake() {
	select {
	case k.wake <- struct{}{}:
	default: // already woken
	}
}

// Run loads and saves until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	for {
		timer := time.NewTimer(k.interval().Duration())
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

// interval returns the time until the next look.
func (k *Keeper) interval() swclock.Millis {
	confirmation, streams := k.config.Register.Wanted(k.config.Clock.Now())
	switch {
	case confirmation || streams:
		return loadInterval
	case k.owner:
		return saveInterval
	default:
		return idleInterval
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
		k.era, k.versionsRead, k.listed, k.eraChecked = era, false, false, false
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
	confirmation, _ := k.config.Register.Wanted(now)
	if confirmation && now >= k.completeFrom && now-k.confirmedAt >= loadInterval && !k.confirm(ctx) {
		return
	}
	_, streams := k.config.Register.Wanted(now)
	unsaved := owner && now-k.savedAt >= saveInterval && len(k.config.Register.Unsaved(1)) > 0
	if now-k.listedAt >= loadInterval && (streams || unsaved && !k.listed) {
		k.load(ctx)
	}
	if unsaved && k.listed {
		k.save(ctx)
	}
}

// confirm reads again which versions serve and have served, and reports whether it could.
func (k *Keeper) confirm(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	startedAt := k.config.Clock.Now()
	k.confirmedAt = startedAt
	var refreshing conc.WaitGroup
	var err error
	refreshing.Go(func() { err = k.config.Refresh(ctx) })
	loaded := k.loadVersions(ctx)
	refreshing.Wait()
	if err != nil {
		return k.failed(err, "origins not confirmed")
	}
	if !loaded || startedAt < k.completeFrom || k.config.Objects.Era() != k.era {
		return false // what was read may lack versions
	}
	k.config.Register.Confirm(startedAt)
	k.config.Log.Info().Uint64("version", uint64(k.versionsVersion)).Int64("tookMillis", int64(k.config.Clock.Now()-startedAt)).Msg("origins confirmed")
	return true
}

// loadVersions reads the versions, and reports whether it could.
func (k *Keeper) loadVersions(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	object, err := k.config.Objects.Get(ctx, versionsKey)
	if err != nil && !errors.Is(err, swobject.ErrNotFound) {
		return k.failed(err, "versions not loaded")
	}
	var stored versions
	if err == nil {
		if stored, err = decodeVersions(object.Value); err != nil {
			k.config.Log.Warn().Err(err).Uint64("version", uint64(object.Version)).Msg("stored versions cannot be read, they are replaced")
		}
	}
	now := k.config.Clock.Now()
	unchanged := k.versionsRead && k.versionsVersion == object.Version
	if k.stored.complete && !stored.complete {
		k.eraChecked = false // versions may have been lost
	}
	if !unchanged || !k.owner {
		// An owner knows until when its own versions may have streams: reading them must not prolong that.
		k.config.Register.LoadVersions(stored.services, now)
	}
	if !k.eraChecked {
		k.checkEra(stored, now)
	}
	if !unchanged {
		k.config.Log.Info().Int("services", len(stored.services)).Uint64("version", uint64(object.Version)).Bool("owner", k.owner).Msg("software versions loaded")
	}
	k.stored, k.versionsVersion, k.versionsRead, k.checked = stored, object.Version, true, 0
	return true
}

// checkEra finds out from when on the stored versions and the list of targets have all versions. If they were not stored
// in the present era, those that came shortly before the store was set back may be missing until their targets
// are listed again.
func (k *Keeper) checkEra(stored versions, now swclock.Millis) {
	k.eraChecked = true
	if stored.complete && stored.era == k.era {
		k.completeFrom = now
		return
	}
	k.completeFrom = now + k.config.ReregisterWithin
	k.config.Log.Info().Uint64("era", uint64(k.era)).Bool("complete", stored.complete).Uint64("storedEra", uint64(stored.era)).
		Int64("waitMillis", int64(k.config.ReregisterWithin)).Msg("software versions may be missing")
}

// current returns the register's versions as they are to be stored, and its number of changes.
func (k *Keeper) current(now swclock.Millis) (current versions, changes uint64) {
	current.services, changes = k.config.Register.Versions(now)
	if now >= k.completeFrom {
		current.era, current.complete = k.era, true
	}
	return current, changes
}

// versionsDiffer reports whether the register's versions differ from the stored ones.
func (k *Keeper) versionsDiffer(now swclock.Millis) bool {
	current, changes := k.current(now)
	marked := !current.complete || current.era == k.stored.era && k.stored.complete
	if marked && (changes == k.checked || reflect.DeepEqual(current.services, k.stored.services)) {
		k.checked = changes
		return false
	}
	return true
}

// saveVersions writes the register's versions, and reports whether it did.
func (k *Keeper) saveVersions(ctx context.Context, now swclock.Millis) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	current, changes := k.current(now)
	value, err := encodeVersions(current)
	if err != nil {
		return k.failed(err, "versions not saved")
	}
	version, err := k.config.Objects.Put(ctx, versionsKey, value, k.versionsVersion)
	switch {
	case err == nil:
		k.versionsVersion, k.stored, k.checked, k.versionsRead = version, current, changes, version != 0
		k.config.Log.Info().Int("services", len(current.services)).Int("bytes", len(value)).Uint64("version", uint64(version)).Msg("software versions saved")
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
