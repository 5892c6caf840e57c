package swfault

import (
	"context"
	"net/http"
)

// RequestContext returns the context of a request that also ends with the
// stand-in's lifetime, and a function that releases it.
func RequestContext(lifetime context.Context, r *http.Request) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(r.Context())
	stop := context.AfterFunc(lifetime, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}
