// Package swrefusal keeps the refused contents, and the refused and suspect parts of prompts, in the
// platform's store, so that they outlast the processes that refused them. What crashes its targets is then known to
// the next owner of the cells, also after all hosts were restarted.
package swrefusal

import (
	"context"
	"hash/maphash"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swsuspect"
	"github.com/sassafraswing/sassafraswing/internal/store/swobject"
)

// Key is the key of the object.
const Key = "refusedContents"

const (
	// stepInterval is the time between two looks at what is to be loaded or saved.
	stepInterval = 200 * swclock.Millis(1)
	// saveInterval is the least time between two writes.
	saveInterval = swclock.Second
	// reloadInterval is the time after which an owner reads the object again, for contents that
	// another owner refused.
	reloadInterval = 10 * swclock.Second
	// ownerlessTime is how long a host that cannot reach its owner waits before it reads the
	// object, and between two reads.
	ownerlessTime = swclock.Second
	// wakeInterval is the least time between two reads that Wake causes.
	wakeInterval = swclock.Second
	// retryInterval is the time after a failed call until the next one, with a random addition
	// of up to as much.
	retryInterval = swclock.Second
	// callTimeout bounds one call.
	callTimeout = 1500 * swclock.Millis(1)
	// maxContents and maxParts bound the contents and the entries of parts in the object, which has
	// about 60 bytes for each content and 120 for each part.
	maxContents = 4096
	maxParts    = 2048
)

// Config holds the settings and dependencies of a Keeper.
type Config struct {
	Objects  swobject.Objects
	Register *swsuspect.Register
	Parts    *swsuspect.Parts
	Clock    swclock.Clock
	// Owner reports whether hosts have their requests scheduled by this one.
	Owner func() bool
	// Ownerless reports whether this host has its requests scheduled by one that it has no link to.
	Ownerless func() bool
	// Reachable reports whether the store can be reached. No call is made while it cannot.
	Reachable func() bool
	Log       zerolog.Logger
}

// Keeper loads the refused contents into a register when its host becomes an owner or cannot reach
// one, and saves those that the host refuses as an owner. Owners at the same time merge theirs in
// the object.
type Keeper struct {
	config Config
	// loaded is set while version and era are those of the object as last read or written.
	loaded   bool
	version  swobject.Version
	era      swobject.Era
	loadedAt swclock.Millis
	savedAt  swclock.Millis
	// stored identifies what is in the object.
	stored uint64
	seed   maphash.Seed
	// checked holds the registers' numbers of changes when stored was last compared with them.
	checked changes
	// owner is what Config.Owner last returned. counting is set from then until everything
	// that the host counted as an owner is saved.
	owner, counting bool
	// ownerlessSince is when Config.Ownerless began to return true, or 0.
	ownerlessSince swclock.Millis
	nextCallAt     swclock.Millis
	wake           chan struct{}
}

// changes holds the numbers of changes of the registers.
type changes struct{ contents, parts uint64 }

// refusals holds the refused contents and the crashes that are blamed on parts.
type refusals struct {
	contents []swsuspect.Content
	parts    []swsuspect.PartCrashes
}

// New returns a Keeper that has loaded nothing.
func New(config Config) *Keeper {
	return &Keeper{config: config, seed: maphash.MakeSeed(), wake: make(chan struct{}, 1)}
}

// Wake makes Run read the object soon, unless it has just done so. It is called when a host comes to have
// its requests scheduled by this one, which may have been an owner before and missed what others refused.
func (k *Keeper) Wake() {
	select {
	case k.wake <- struct{}{}:
	default: // already woken
	}
}

// Run loads and saves refused contents until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	ticker := time.NewTicker(stepInterval.Duration())
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-k.wake:
			if k.config.Clock.Now()-k.loadedAt >= wakeInterval {
				k.loaded = false
			}
		case <-ctx.Done():
			return
		}
		k.Step(ctx)
	}
}

// Step loads the object if that is due, and saves the register's refused contents if they differ.
func (k *Keeper) Step(ctx context.Context) {
	now := k.config.Clock.Now()
	owner := k.config.Owner()
	if owner && !k.owner {
		k.loaded = false
	}
	k.owner, k.counting = owner, k.counting || owner
	if now < k.nextCallAt || !k.config.Reachable() {
		return
	}
	if (!k.loaded || k.outdated(now)) && !k.load(ctx) {
		return
	}
	if k.counting && now-k.savedAt >= saveInterval && k.differs() {
		k.save(ctx)
	}
}

// outdated reports whether the object may have contents that the register lacks.
func (k *Keeper) outdated(now swclock.Millis) bool {
	switch {
	case !k.config.Ownerless():
		k.ownerlessSince = 0
	case k.ownerlessSince == 0:
		k.ownerlessSince = now
	case now-max(k.ownerlessSince, k.loadedAt) >= ownerlessTime:
		return true
	}
	return k.owner && now-k.loadedAt >= reloadInterval || k.counting && k.config.Objects.Era() != k.era
}

// load reads the object into the register, and reports whether it could.
func (k *Keeper) load(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	k.loaded = false
	era := k.config.Objects.Era()
	object, err := k.config.Objects.Get(ctx, Key)
	if err != nil && !errors.Is(err, swobject.ErrNotFound) {
		k.failed(err, "refused contents not loaded")
		return false
	}
	var loaded refusals
	if err == nil {
		if loaded, err = decode(object.Value); err != nil {
			k.config.Log.Warn().Err(err).Uint64("version", uint64(object.Version)).Msg("stored contents cannot be read, they are replaced")
		}
	}
	now := k.config.Clock.Now()
	for _, c := range loaded.contents {
		k.config.Register.Load(c, now)
	}
	for _, c := range loaded.parts {
		k.config.Parts.Load(c, now)
	}
	if stored := k.identify(&loaded); stored != k.stored || k.config.Objects.Era() != k.era {
		k.config.Log.Info().Int("contents", len(loaded.contents)).Int("parts", len(loaded.parts)).Uint64("version", uint64(object.Version)).
			Uint64("era", uint64(k.config.Objects.Era())).Bool("owner", k.owner).Msg("refused contents loaded")
		k.stored = stored
	}
	k.checked = changes{}
	k.version, k.loadedAt, k.era = object.Version, now, k.config.Objects.Era()
	// If the store was set back during the call, the object may be one of before.
	k.loaded = era == k.era || era == 0
	return k.loaded
}

// known returns what the registers hold.
func (k *Keeper) known(now swclock.Millis) *refusals {
	return &refusals{contents: k.config.Register.Contents(maxContents, now), parts: k.config.Parts.Crashes(maxParts, now)}
}

// differs reports whether what the registers hold differs from what is in the object. If it does not,
// everything is saved.
func (k *Keeper) differs() bool {
	current := changes{k.config.Register.Changes(), k.config.Parts.Changes()}
	if k.checked == current {
		k.counting = k.owner
		return false
	}
	if k.identify(k.known(k.config.Clock.Now())) != k.stored {
		return true
	}
	k.checked = current
	k.counting = k.owner
	return false
}

// save writes what the registers hold.
func (k *Keeper) save(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	now := k.config.Clock.Now()
	known := k.known(now)
	value, err := encode(known)
	if err != nil {
		k.failed(err, "refused contents not saved")
		return
	}
	k.savedAt = now
	version, err := k.config.Objects.Put(ctx, Key, value, k.version)
	switch {
	case err == nil:
		k.version, k.stored = version, k.identify(known)
		k.loaded = version != 0
		k.config.Log.Info().Int("contents", len(known.contents)).Int("parts", len(known.parts)).Int("bytes", len(value)).Uint64("version", uint64(version)).Msg("refused contents saved")
	case errors.Is(err, swobject.ErrConflict):
		k.loaded = false // another owner saved its own
	default:
		k.loaded = false // the write may have happened
		k.failed(err, "refused contents not saved")
	}
}

// failed logs a failed call and delays the next one.
func (k *Keeper) failed(err error, message string) {
	k.nextCallAt = k.config.Clock.Now() + retryInterval + swclock.Millis(rand.Int64N(int64(retryInterval)))
	k.config.Log.Warn().Err(err).Msg(message)
}

// identify returns a hash, without the times.
func (k *Keeper) identify(r *refusals) uint64 {
	var sum uint64
	for _, c := range r.contents {
		sum += maphash.Comparable(k.seed, c.Fingerprint)
	}
	for i := range r.parts {
		sum += maphash.String(k.seed, r.parts[i].Key())
	}
	return sum
}
