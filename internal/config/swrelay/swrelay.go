// Package swrelay distributes the environment document to every entry host. Some
// hosts of each availability zone, its relays, watch the platform for new versions;
// the others obtain them from peers, or from the platform at startup and as a last resort.
// The type Relay runs on every host, whether or not the host is a relay of its zone.
package swrelay

import (
	"github.com/sassafraswing/sassafraswing/internal/config/swdoc"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

// CurrentDocument is the document in force on this host and its version.
type CurrentDocument struct {
	Version  swid.ConfigVersion // 0: none yet
	Document *swdoc.Document    // nil if Version is 0
}

// Source provides the document in force. Its version never decreases.
type Source interface {
	Current() CurrentDocument
	// Subscribe registers f, which is called from one goroutine and in order with the
	// current document, if there is one, and with each later one.
	Subscribe(f func(CurrentDocument))
}
