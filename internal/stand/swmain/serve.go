package swmain

import (
	"context"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/sassafraswing/sassafraswing/internal/stand/swfault"
	"github.com/sassafraswing/sassafraswing/internal/stand/swreply"
)

const (
	headerTimeout = 10 * time.Second
	// relistenInterval is the time between two attempts to listen on an address again after a crash.
	relistenInterval = 10 * time.Millisecond
	adminPrefix      = "/admin/"
)

// serve serves the stand-in on its addresses until ctx ends or a listener fails.
func serve(ctx context.Context, log zerolog.Logger, o options, s StandIn) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	listener, err := net.Listen("tcp", o.address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	log.Info().Str("kind", o.kind).Str("address", listener.Addr().String()).Msg("listening")
	var workers conc.WaitGroup
	if o.admin != "" {
		admin, err := net.Listen("tcp", o.admin)
		if err != nil {
			listener.Close()
			return errors.Wrap(err, "listen for admin")
		}
		log.Info().Str("address", admin.Addr().String()).Msg("listening for admin")
		workers.Go(func() { cancel(serveUntil(ctx, admin, adminOnly(s.Handler))) })
		workers.Go(func() { cancel(serveWithCrashes(ctx, listener, s)) })
	} else {
		workers.Go(func() { cancel(serveUntil(ctx, listener, s.Handler)) })
	}
	workers.Wait()
	if cause := context.Cause(ctx); !errors.Is(cause, context.Canceled) {
		return cause
	}
	return nil
}

// adminOnly returns a handler that passes only the admin paths to h.
func adminOnly(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, adminPrefix) {
			h.ServeHTTP(w, r)
			return
		}
		swreply.Error(w, http.StatusNotFound, "not_found", "only admin paths are served here")
	})
}

// serveUntil serves until ctx ends, then closes every connection.
func serveUntil(ctx context.Context, l net.Listener, h http.Handler) error {
	server := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve")
	}
	return nil
}

// serveWithCrashes serves on l, and closes the listener while the crash fault is
// active, so that connections are refused.
func serveWithCrashes(ctx context.Context, l net.Listener, s StandIn) error {
	address := l.Addr().String()
	for {
		if err := serveUntilCrash(ctx, l, s); err != nil {
			return err
		}
		if err := s.Faults.WaitInactive(ctx, swfault.KindCrash); err != nil || ctx.Err() != nil {
			return nil
		}
		next, err := relisten(ctx, address)
		if err != nil {
			return err
		}
		l = next
	}
}

// serveUntilCrash serves until the crash fault becomes active or ctx ends.
func serveUntilCrash(ctx context.Context, l net.Listener, s StandIn) error {
	lifetime, end := context.WithCancel(ctx)
	var workers conc.WaitGroup
	workers.Go(func() {
		defer end()
		_ = s.Faults.WaitActive(lifetime, swfault.KindCrash) // an error only means that lifetime ended first
	})
	err := serveUntil(lifetime, l, s.Handler)
	end()
	workers.Wait()
	return err
}

// relisten listens on an address again; it retries until that succeeds or ctx ends.
func relisten(ctx context.Context, address string) (net.Listener, error) {
	for {
		l, err := net.Listen("tcp", address)
		if err == nil {
			return l, nil
		}
		t := time.NewTimer(relistenInterval)
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return nil, errors.Wrap(err, "listen again")
		}
	}
}
