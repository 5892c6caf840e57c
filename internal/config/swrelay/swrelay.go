// Package swrelay brings the environment document into force on every entry host.
package swrelay

import (
	"github.com/sassafraswing/sassafraswing/internal/config/swdoc"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

// InForce is the document in force and its version.
type InForce struct {
	Version  swid.ConfigVersion // 0: none yet
	Document *swdoc.Document    // nil if Version is 0
}

// Source gives the document in force. Its version never falls.
type Source interface {
	Current() InForce
	// Subscribe calls f, from one goroutine and in order, with the present and each later document.
	Subscribe(f func(InForce))
}
