package swelect

import "github.com/sassafraswing/sassafraswing/internal/core/swid"

// Verdict is what a host does with an ask.
type Verdict uint8

// Verdicts.
const (
	// Serve means that the host owns the cell under its present epoch.
	Serve Verdict = iota + 1
	// TakeOver means that the host starts a new term: it asks every holder in reach to recover.
	TakeOver
	// TakeOverFor means that the host starts a new term for the asking holder
	// alone, which cannot reach the owner; the others keep theirs.
	TakeOverFor
	// Redirect means that another host owns the cell.
	Redirect
)

// Office is a host's own claim to one cell.
type Office struct {
	// heard is the highest epoch heard of; it never falls.
	heard swid.Epoch
	// epoch is that of the present term, or 0. It is at most heard.
	epoch swid.Epoch
}

// Epoch returns the epoch of the present term, or 0 if the host is not in office.
func (o *Office) Epoch() swid.Epoch { return o.epoch }

// Heard notes an epoch that another host told of.
func (o *Office) Heard(epoch swid.Epoch) { o.heard = max(o.heard, epoch) }

// Resign ends the present term.
func (o *Office) Resign() { o.epoch = 0 }

// Asked decides on an ask. Its epoch is the highest that the holder has seen;
// best tells that this host ranks first among those that it can reach itself. A
// host that was frozen learns here that its term is over.
func (o *Office) Asked(epoch swid.Epoch, best, insist bool) Verdict {
	o.Heard(epoch)
	switch {
	case !best && !insist:
		o.Resign()
		return Redirect
	case o.epoch != 0 && o.epoch == o.heard:
		return Serve
	}
	o.heard++
	o.epoch = o.heard
	if best {
		return TakeOver
	}
	return TakeOverFor
}
