package swcell

import (
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

// Config holds the settings of a cell. Fields that are 0 get their defaults.
type Config struct {
	// Tiers is the number of tiers; requests of tiers beyond it are put into the lowest. Default swid.MaxTiers.
	Tiers int
	// OutputTokenCost is the cost of an output token, in prompt tokens. Default 4.
	OutputTokenCost float64
	// ScanLimit is the number of requests of a tier that one dispatch pass skips before it
	// goes on to the next tier. Default 16.
	ScanLimit int
	// PreemptScanLimit bounds the requests of a tier for which one tick considers preemption. Default 128.
	PreemptScanLimit int
	// ReviewLimit bounds the requests of a tier that one tick checks for whether they can
	// still start in time. Default 24.
	ReviewLimit int
	// ShedWaitFactor scales the estimated wait before it is compared with a request's latest start. Default 0.75.
	ShedWaitFactor float64
	// BorrowLimit bounds by how much an organisation may exceed its fair share when its
	// small urgent requests start ahead of its turn. The excess is measured as the time
	// in which all the cell's slots together process it. Default 2 s.
	BorrowLimit swclock.Millis
	// PrefillBacklog is the longest prefill wait at which a target is granted a long
	// prompt, which is one whose own prefill takes longer than PrefillBacklog. The limit
	// keeps the long prompts of lower tiers from queueing up ahead of higher tiers.
	// Default 200 ms.
	PrefillBacklog swclock.Millis
	// LostRunTimeout is the time after which a run whose end was not reported loses its
	// slot. The time counts from the run's deadline or, if its holder died, from the later of
	// that death and the run's expected end. Default 1 minute.
	LostRunTimeout swclock.Millis
	// HistorySize bounds the number of requests in the history and, separately, the number of
	// fingerprints with strikes. Default 16,384.
	HistorySize int
	// PrefixHashes bounds the number of hashes in the index of each target's prefix cache. Default 4,096.
	PrefixHashes int
	// StrikeLimit is the number of strikes from which the requests with a fingerprint are
	// rejected. Default 3.
	StrikeLimit int
	// StrikeLifetime is how long strikes are kept after the latest one, and so how long a
	// fingerprint is rejected. Default 10 minutes.
	StrikeLifetime swclock.Millis
	// RetryRatio is the number of retries that each answered request adds to the retry budget. Default 0.1.
	RetryRatio float64
	// RetryReserve is the initial and the maximum size of the retry budget. Default 32.
	RetryReserve float64
	// StragglerFactor limits the ratio of a target's time between tokens to the median of
	// the other targets of its generation. Above this ratio the target is only probed.
	// Default 2.
	StragglerFactor float64
}

func (c Config) withDefaults() Config {
	setDefault(&c.Tiers, swid.MaxTiers)
	setDefault(&c.OutputTokenCost, 4)
	setDefault(&c.ScanLimit, 16)
	setDefault(&c.PreemptScanLimit, 128)
	setDefault(&c.ReviewLimit, 24)
	setDefault(&c.ShedWaitFactor, 0.75)
	setDefault(&c.BorrowLimit, 2*swclock.Second)
	setDefault(&c.PrefillBacklog, 200)
	setDefault(&c.LostRunTimeout, swclock.Minute)
	setDefault(&c.HistorySize, 1<<14)
	setDefault(&c.PrefixHashes, 1<<12)
	setDefault(&c.StrikeLimit, 3)
	setDefault(&c.StrikeLifetime, 10*swclock.Minute)
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
	// Invariant says which condition does not hold.
	Invariant string
	Key       Key
	Target    swid.TargetID
}

// Option sets an optional property of a new cell.
type Option func(*Cell)

// WithViolationHook sets the function that is called for each broken invariant.
func WithViolationHook(hook func(Violation)) Option {
	return func(c *Cell) { c.onViolation = hook }
}
