package sworder

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/pkg/errors"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/stand/swengine"
	"github.com/sassafraswing/sassafraswing/internal/stand/swmemstore"
	"github.com/sassafraswing/sassafraswing/internal/store/swlease"
)

var testConfig = Config{DeliveryTimeout: 2 * swclock.Second, AnswerTimeout: 20 * swclock.Second, LoadsPerSecond: 1000}

// pausedLease is held for a number of checks and not held in later ones, to simulate a process that is
// paused between two checks until the term has ended.
type pausedLease struct {
	checks  atomic.Int64
	fencing swlease.Fencing
}

func (l *pausedLease) Held() (swlease.Tenure, bool) {
	return swlease.Tenure{Fencing: l.fencing}, l.checks.Add(-1) >= 0
}

func newPausedLease(checks int64, f swlease.Fencing) *pausedLease {
	l := &pausedLease{fencing: f}
	l.checks.Store(checks)
	return l
}

func TestPausedHolderSendsNothing(t *testing.T) {
	for checks := range int64(2) {
		var arrived atomic.Int64
		server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { arrived.Add(1) }))
		err := New(testConfig, newPausedLease(checks, 1)).Send(context.Background(), Target{URL: server.URL}, Order{Kind: KindSetRole, Role: "decode"})
		server.Close()
		if !errors.Is(err, ErrNoLease) || arrived.Load() != 0 {
			t.Errorf("paused after %d checks: %v, %d orders arrived", checks, err, arrived.Load())
		}
	}
}

// TestWokenHolder checks that a lease holder sends no order after a pause in which its term ended and a
// successor sent an order.
func TestWokenHolder(t *testing.T) {
	engine := swengine.New(swengine.Config{})
	server := httptest.NewServer(engine.Handler())
	defer server.Close()
	store, clock, ctx := swmemstore.New(1), &swclock.Manual{}, context.Background()
	leaseConfig := swlease.Config{Key: "l", Term: 10 * swclock.Second, DeliveryTimeout: testConfig.DeliveryTimeout}
	first, second := swlease.New(leaseConfig, store, clock), swlease.New(leaseConfig, store, clock)
	send := func(l *swlease.Lease, role string) error {
		return New(testConfig, l).Send(ctx, Target{URL: server.URL}, Order{Kind: KindSetRole, Role: role})
	}
	for _, l := range []*swlease.Lease{first, second} {
		if err := l.AcquireOrRenew(ctx); err != nil {
			t.Fatal(err)
		}
	}
	if err := send(first, "a"); err != nil {
		t.Errorf("holder: %v", err)
	}
	if err := send(second, "b"); !errors.Is(err, ErrNoLease) {
		t.Errorf("successor before the term ended: %v", err)
	}
	clock.Advance(20 * swclock.Second)
	if err := second.AcquireOrRenew(ctx); err != nil {
		t.Fatal(err)
	}
	if err := send(second, "c"); err != nil {
		t.Errorf("successor: %v", err)
	}
	if err := send(first, "d"); !errors.Is(err, ErrNoLease) {
		t.Errorf("holder after the pause: %v", err)
	}
}

func TestAnswers(t *testing.T) {
	tests := []struct {
		name   string
		target Target
		status int
		want   error
		token  string
	}{
		{"carried out", Target{}, 200, nil, ""},
		{"token", Target{ChecksCaller: true, Token: "t"}, 200, nil, "Bearer t"},
		{"token not for this target", Target{Token: "t"}, 200, nil, ""},
		{"no token", Target{ChecksCaller: true}, 200, ErrNoToken, ""},
		{"fenced", Target{}, 409, ErrFenced, ""},
		{"forbidden", Target{ChecksCaller: true, Token: "t"}, 403, ErrForbidden, "Bearer t"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if got := r.Header.Get("Authorization"); got != test.token {
					t.Errorf("authorization %q", got)
				}
				w.WriteHeader(test.status)
			}))
			defer server.Close()
			test.target.URL = server.URL
			err := New(testConfig, newPausedLease(100, 7)).Send(context.Background(), test.target, Order{Kind: KindLoadModel, Model: "m"})
			if !errors.Is(err, test.want) {
				t.Errorf("got %v, want %v", err, test.want)
			}
		})
	}
}
