package sworder

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/stand/swengine"
	"github.com/sassafraswing/sassafraswing/internal/stand/swmemstore"
	"github.com/sassafraswing/sassafraswing/internal/store/swlease"
)

var issuerConfig = IssuerConfig{
	Lease:         swlease.Config{Key: "l", Term: 10 * swclock.Second, DeliveryTimeout: 2 * swclock.Second},
	AnswerTimeout: 20 * swclock.Second,
	LoadInterval:  1,
	PollInterval:  1,
}

// pausingClock calls pause before one of its readings, to simulate a process that is paused there.
type pausingClock struct {
	swclock.Clock
	// untilPause counts down the readings up to the one that pauses.
	untilPause atomic.Int64
	pause      func()
}

func (c *pausingClock) Now() swclock.Millis {
	if c.untilPause.Add(-1) == 0 {
		c.pause()
	}
	return c.Clock.Now()
}

// startIssuer runs an Issuer until the test ends.
func startIssuer(t *testing.T, store *swmemstore.Store, clock swclock.Clock) *Issuer {
	g := NewIssuer(issuerConfig, store, clock)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { g.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return g
}

// executedOrder is an order that an engine carried out.
type executedOrder struct {
	Role    string
	Fencing uint64
}

func executedOrders(t *testing.T, url string) []executedOrder {
	response, err := http.Get(url + "/orders")
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	var orders []executedOrder
	if err := json.NewDecoder(response.Body).Decode(&orders); err != nil {
		t.Fatal(err)
	}
	return orders
}

// countingClock counts its readings.
type countingClock struct {
	swclock.Clock
	readings atomic.Int64
}

func (c *countingClock) Now() swclock.Millis {
	c.readings.Add(1)
	return c.Clock.Now()
}

// TestPausedGiver checks that no order of an earlier term arrives after one of a later term. It pauses
// an Issuer at each reading of its clock while a second Issuer sends an order.
func TestPausedGiver(t *testing.T) {
	const readings = 14 // more than one order needs
	for _, enforces := range []bool{true, false} {
		for pauseAt := int64(1); pauseAt <= readings; pauseAt++ {
			engine := swengine.New(swengine.Config{EnforceFencing: enforces})
			server := httptest.NewServer(engine.Handler())
			store, clock := swmemstore.New(1), &swclock.Manual{}
			target := Target{URL: server.URL}
			counting := &countingClock{Clock: clock}
			second := startIssuer(t, store, counting)
			paused := &pausingClock{Clock: clock}
			paused.untilPause.Store(pauseAt)
			paused.pause = func() {
				result := make(chan error, 1)
				go func() { result <- second.Issue(context.Background(), target, Order{Kind: KindSetRole, Role: "second"}) }()
				// The clock advances by a second only after the second Issuer has read it several
				// times, so that no term ends while that Issuer waits for a CPU.
				const readingsPerSecond = 4
				advanceAt := counting.readings.Load()
				for {
					select {
					case err := <-result:
						if err != nil {
							t.Errorf("second issuer: %v", err)
						}
						return
					default:
						if counting.readings.Load() >= advanceAt {
							advanceAt = counting.readings.Load() + readingsPerSecond
							clock.Advance(swclock.Second)
						}
						time.Sleep(swclock.Millis(1).Duration())
					}
				}
			}
			first := startIssuer(t, store, paused)
			_ = first.Issue(context.Background(), target, Order{Kind: KindSetRole, Role: "first"}) // may fail or succeed
			first.semaphore <- struct{}{}                                                          // waits until the cleanup is done
			got := executedOrders(t, server.URL)
			if len(got) == 0 || len(got) == 2 && got[1].Fencing < got[0].Fencing {
				t.Errorf("paused at reading %d, fencing honoured %v: the engine took %v", pauseAt, enforces, got)
			}
			engine.Close()
			server.Close()
		}
	}
}

func TestGiveWithoutLease(t *testing.T) {
	store, clock := swmemstore.New(1), swclock.NewSystem()
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { t.Error("an order arrived") }))
	defer server.Close()
	store.SetFaults(swmemstore.Faults{Outage: true})
	err := startIssuer(t, store, clock).Issue(context.Background(), Target{URL: server.URL}, Order{Kind: KindSetRole, Role: "r"})
	var lease *LeaseError
	if !errors.As(err, &lease) || !errors.Is(err, ErrPlatformUnavailable) || lease.RetryAfter != platformRetryAfter {
		t.Errorf("in an outage: %v", err)
	}
}

// TestLeaseElsewhere checks that an order fails while another process keeps renewing the lease.
func TestLeaseElsewhere(t *testing.T) {
	store, clock, ctx := swmemstore.New(1), &swclock.Manual{}, context.Background()
	other := swlease.New(issuerConfig.Lease, store, clock)
	if err := other.AcquireOrRenew(ctx); err != nil {
		t.Fatal(err)
	}
	issuer, result := startIssuer(t, store, clock), make(chan error, 1)
	go func() { result <- issuer.Issue(ctx, Target{}, Order{Kind: KindSetRole, Role: "r"}) }()
	for {
		select {
		case err := <-result:
			if !errors.Is(err, ErrLeaseElsewhere) {
				t.Errorf("got %v", err)
			}
			return
		default:
			clock.Advance(swclock.Second)
			if err := other.AcquireOrRenew(ctx); err != nil {
				t.Fatal(err)
			}
			time.Sleep(swclock.Millis(1).Duration())
		}
	}
}

// TestTurns checks that the lease passes between two hosts without waiting for a term to end.
func TestTurns(t *testing.T) {
	engine := swengine.New(swengine.Config{EnforceFencing: true})
	defer engine.Close()
	server := httptest.NewServer(engine.Handler())
	defer server.Close()
	store, clock := swmemstore.New(1), swclock.NewSystem()
	issuers := []*Issuer{startIssuer(t, store, clock), startIssuer(t, store, clock)}
	for i := range 6 {
		if err := issuers[i%2].Issue(context.Background(), Target{URL: server.URL}, Order{Kind: KindLoadModel, Model: "m"}); err != nil {
			t.Fatal(err)
		}
	}
	if got := executedOrders(t, server.URL); len(got) != 6 {
		t.Errorf("%d orders arrived", len(got))
	}
}

// TestLostAnswers checks that exactly the orders that were reported as carried out arrived, although
// the platform's answers to writes of the lease are lost at random.
func TestLostAnswers(t *testing.T) {
	engine := swengine.New(swengine.Config{EnforceFencing: true})
	defer engine.Close()
	server := httptest.NewServer(engine.Handler())
	defer server.Close()
	store := swmemstore.New(1)
	store.SetFaults(swmemstore.Faults{LostResponseRate: 0.4})
	issuer, done := startIssuer(t, store, swclock.NewSystem()), 0
	for range 40 {
		var lease *LeaseError
		switch err := issuer.Issue(context.Background(), Target{URL: server.URL}, Order{Kind: KindSetRole, Role: "r"}); {
		case err == nil:
			done++
		case !errors.As(err, &lease):
			t.Fatal(err)
		}
	}
	if got := len(executedOrders(t, server.URL)); got != done || done == 0 {
		t.Errorf("%d orders arrived, %d were reported", got, done)
	}
}
