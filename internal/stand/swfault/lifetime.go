package swfault

import (
	"context"
	"net/http"
)

// RequestContext returns a context that ends with the request or with lifetime,
// whichever ends first, and a function that releases it.
func RequestContext(lifetime context.Context, r *http.Request) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(r.Context())
	stop := context.AfterFunc(lifetime, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}
