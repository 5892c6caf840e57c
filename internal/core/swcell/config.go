package swcell

import (
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

// Config holds the settings of a cell. A field that is 0 takes its default.
type Config struct {
	// Tiers is the number of tiers; requests of lower tiers count as of the lowest. Default swid.MaxTiers.
	Tiers int
	// OutputTokenCost is what an output token is charged, in prompt tokens. Default 4.
	OutputTokenCost float64
	// ScanLimit bounds the requests that one pass looks at without placing any. Default 16.
	ScanLimit int
	// UrgentLimit bounds the requests of a tier that one tick considers preemption for. Default 128.
	UrgentLimit int
	// ReviewLimit bounds the requests of a tier whose prospects one tick reviews. Default 24.
	ReviewLimit int
	// ShedConfidence scales the estimated wait before it is held against a deadline. Default 0.75.
	ShedConfidence float64
	// BorrowSpan bounds how far an organisation may run ahead of its share with
	// small requests that cannot wait for its turn, as time of the whole cell. Default 2 s.
	BorrowSpan swclock.Millis
	// PrefillBacklog is the time of other prompts on a target from which it is
	// granted no further prompt that takes as long, so that the long prompts of
	// lower tiers do not queue up ahead of higher ones. Default 200 ms.
	PrefillBacklog swclock.Millis
	// OrphanBound frees the slot of work that nobody reports on any more, beyond its expected end. Default 1 minute.
	OrphanBound swclock.Millis
	// HistorySize bounds the requests and fingerprints that are remembered after their end. Default 16,384.
	HistorySize int
	// PrefixHashes bounds the index of each target's prefix cache. Default 4,096.
	PrefixHashes int
	// StrikeLimit is the number of strikes at which a fingerprint is refused. Default 3.
	StrikeLimit int
	// StrikeSpan is how long strikes are remembered and a fingerprint is refused. Default 10 minutes.
	StrikeSpan swclock.Millis
	// RetryRatio is the number of retries that each answered request allows. Default 0.1.
	RetryRatio float64
	// RetryReserve bounds the retries that may be saved up, and is the initial allowance. Default 32.
	RetryReserve float64
	// StragglerFactor is how many times slower than its generation a target is before it is only probed. Default 2.
	StragglerFactor float64
}

func (c Config) withDefaults() Config {
	setDefault(&c.Tiers, swid.MaxTiers)
	setDefault(&c.OutputTokenCost, 4)
	setDefault(&c.ScanLimit, 16)
	setDefault(&c.UrgentLimit, 128)
	setDefault(&c.ReviewLimit, 24)
	setDefault(&c.ShedConfidence, 0.75)
	setDefault(&c.BorrowSpan, 2*swclock.Second)
	setDefault(&c.PrefillBacklog, 200)
	setDefault(&c.OrphanBound, swclock.Minute)
	setDefault(&c.HistorySize, 1<<14)
	setDefault(&c.PrefixHashes, 1<<12)
	setDefault(&c.StrikeLimit, 3)
	setDefault(&c.StrikeSpan, 10*swclock.Minute)
	setDefault(&c.RetryRatio, 0.1)
	setDefault(&c.RetryReserve, 32)
	setDefault(&c.StragglerFactor, 2)
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Violation describes a broken invariant.
type Violation struct {
	// Invariant names what was broken.
	Invariant string
	Key       Key
	Target    swid.TargetID
}

// Option changes a cell that is being made.
type Option func(*Cell)

// WithViolationHook sets the function that is called for each broken invariant.
func WithViolationHook(hook func(Violation)) Option {
	return func(c *Cell) { c.onViolation = hook }
}
