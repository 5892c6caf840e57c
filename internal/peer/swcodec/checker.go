package swcodec

import (
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

// checker collects the first field of a message that is out of its range.
type checker struct {
	message string
	err     error
}

// check records a bad field.
func (c *checker) check(field string, ok bool) {
	if !ok && c.err == nil {
		c.err = &FieldError{Message: c.message, Field: field}
	}
}

// optional checks a text that may be empty.
func (c *checker) optional(field, value string) string {
	c.check(field, len(value) <= MaxTextBytes)
	return value
}

// required checks a text that may not be empty.
func (c *checker) required(field, value string) string {
	c.check(field, value != "")
	return c.optional(field, value)
}

// between checks an enumeration's value.
func (c *checker) between(field string, value, low, high uint32) uint32 {
	c.check(field, low <= value && value <= high)
	return value
}

// count checks the length of a list.
func (c *checker) count(field string, n, most int) { c.check(field, n <= most) }

func cell(c *checker, value string) swid.CellID { return swid.CellID(c.required("cell", value)) }

func target(c *checker, value string) swid.TargetID {
	return swid.TargetID(c.required("target", value))
}

func tier(c *checker, value uint32) swid.Tier {
	return swid.Tier(c.between("tier", value, 0, swid.MaxTiers-1))
}

func tokens(c *checker, field string, value int64) swid.Tokens {
	c.check(field, value >= 0)
	return swid.Tokens(value)
}

// amount checks a quantity that cannot be negative.
func amount(c *checker, field string, value int64) int64 {
	c.check(field, value >= 0)
	return value
}

// span checks a span of time that cannot be negative.
func span(c *checker, field string, value int64) swclock.Millis {
	c.check(field, value >= 0)
	return swclock.Millis(value)
}
