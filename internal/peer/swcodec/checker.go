package swcodec

import (
	"math"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/swlimit"
	"github.com/sassafraswing/sassafraswing/internal/core/sworigin"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmsg"
	"github.com/sassafraswing/sassafraswing/internal/peer/swpb"
)

// checker records the first field of a message that is out of range.
type checker struct {
	message string
	err     error
}

// check records an error for the field if ok is false and no error is recorded yet.
func (c *checker) check(field string, ok bool) {
	if !ok && c.err == nil {
		c.err = &FieldError{Message: c.message, Field: field}
	}
}

// optionalText checks the length of a text that may be empty.
func (c *checker) optionalText(field, value string) string {
	c.check(field, len(value) <= MaxTextBytes)
	return value
}

// requiredText checks the length of a text that must not be empty.
func (c *checker) requiredText(field, value string) string {
	c.check(field, value != "")
	return c.optionalText(field, value)
}

// inRange checks that a value is in the range from low to high, both included.
func (c *checker) inRange(field string, value, low, high uint32) uint32 {
	c.check(field, low <= value && value <= high)
	return value
}

// listLength checks that a list has at most limit elements.
func (c *checker) listLength(field string, n, limit int) { c.check(field, n <= limit) }

func cell(c *checker, value string) swid.CellID { return swid.CellID(c.requiredText("cell", value)) }

func target(c *checker, value string) swid.TargetID {
	return swid.TargetID(c.requiredText("target", value))
}

func tier(c *checker, value uint32) swid.Tier {
	return swid.Tier(c.inRange("tier", value, 0, swid.MaxTiers-1))
}

// services checks the length of a list of services.
func services(c *checker, field string, names []string) []swid.ServiceID {
	c.listLength(field, len(names), MaxServices)
	if c.err != nil {
		return nil
	}
	return convert(names, func(s string) swid.ServiceID { return swid.ServiceID(c.requiredText(field, s)) })
}

// origin returns the zero value for one that is absent.
func origin(c *checker, w *swpb.Origin) sworigin.Origin {
	if w == nil {
		return sworigin.Origin{}
	}
	return sworigin.Origin{
		Service: swid.ServiceID(c.requiredText("service", w.GetService())), Version: swid.SoftwareVersion(c.optionalText("version", w.GetVersion())),
	}
}

func statement(c *checker, w *swpb.RateLimit) swlimit.Statement {
	if w == nil {
		return swlimit.Statement{}
	}
	return swlimit.Statement{
		Heard: true, PerSecond: requestRate(c, w.GetPerSecond()), Leaving: w.GetLeaving(), Pause: duration(c, "pauseMillis", w.GetPauseMillis()),
		Brittle: w.GetBrittle(), MaxRejections: maxRejections(c, w.GetMaxRejections()),
	}
}

func maxRejections(c *checker, value int64) int {
	c.check("maxRejections", value >= 0)
	return int(value)
}

// requestRate checks that a rate is a finite number and not negative.
func requestRate(c *checker, perSecond float64) swid.RequestRate {
	c.check("perSecond", perSecond >= 0 && !math.IsInf(perSecond, 0))
	return swid.RequestRate(perSecond)
}

func scheduling(c *checker, value uint32) swmsg.Scheduling {
	return swmsg.Scheduling(c.inRange("scheduling", value, 0, uint32(swmsg.SchedulingShared)))
}

func tokens(c *checker, field string, value int64) swid.Tokens {
	c.check(field, value >= 0)
	return swid.Tokens(value)
}

// nonNegative checks that a quantity is not negative.
func nonNegative(c *checker, field string, value int64) int64 {
	c.check(field, value >= 0)
	return value
}

// duration checks that a duration is not negative.
func duration(c *checker, field string, value int64) swclock.Millis {
	c.check(field, value >= 0)
	return swclock.Millis(value)
}
