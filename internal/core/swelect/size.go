package swelect

import "math"

// Size is what a host has for its work. The zero value is an unknown size.
type Size struct {
	// Cores is the processor time that the host may use, in cores.
	Cores float64
	// LinkMegabits is the bandwidth of its link, in Mbit/s.
	LinkMegabits float64
}

// What an owner uses for one request of another host.
const (
	ownerCoreSeconds = 300e-6
	ownerMegabits    = 8e-3
)

// class returns the class of hosts of about the same size: the binary logarithm of the requests a
// second that a host can schedule for others, rounded down. A host of unknown size has class 0.
func (s Size) class() int {
	requests := min(s.Cores/ownerCoreSeconds, s.LinkMegabits/ownerMegabits)
	if requests < 1 {
		return 0
	}
	return int(math.Log2(requests))
}
