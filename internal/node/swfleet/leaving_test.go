package swfleet

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/swlimit"
	"github.com/sassafraswing/sassafraswing/internal/target/swtarget"
)

// drainTime is the time after a host has passed on the answer of a leaving target from which no request
// that it then receives may reach that target.
const drainTime = 2 * time.Second

// leavingTarget is a target that says in its answers, from an instant on, that it is leaving.
type leavingTarget struct {
	id    swid.TargetID
	fleet *simulatedFleet
	from  time.Time

	mu sync.Mutex
	// late counts the requests that reached the target although their host had to know better.
	late int
}

// leavingTargetView is the target as one process of a host reaches it. It implements swtarget.Adapter.
type leavingTargetView struct {
	target *leavingTarget

	mu     sync.Mutex
	toldAt time.Time
}

// Start implements swtarget.Adapter. The body is the time at which the caller sent the request.
func (v *leavingTargetView) Start(ctx context.Context, r swtarget.Request) (swtarget.Answer, error) {
	sentNanos, err := strconv.ParseInt(string(r.Body), 10, 64)
	if err != nil {
		return nil, err
	}
	l := v.target
	v.mu.Lock()
	if !v.toldAt.IsZero() && time.Unix(0, sentNanos).Sub(v.toldAt) > drainTime {
		l.mu.Lock()
		l.late++
		l.mu.Unlock()
	}
	v.mu.Unlock()
	answer, err := l.fleet.deployment.targets[l.id].Start(ctx, r)
	if err != nil {
		return nil, err
	}
	leaving := !l.from.IsZero() && time.Now().After(l.from)
	answer.(*fakeAnswer).limit = swlimit.Statement{Heard: true, Leaving: leaving}
	if leaving {
		v.mu.Lock()
		if v.toldAt.IsZero() {
			v.toldAt = time.Now()
		}
		v.mu.Unlock()
	}
	return answer, nil
}

// TestLeavingTargets guards against requests to a target that has said in an answer that it is leaving.
func TestLeavingTargets(t *testing.T) {
	const span, rate = 16 * time.Second, 120
	events := []struct {
		name string
		run  func(f *simulatedFleet)
	}{
		{name: "undisturbed"},
		{name: "owner killed", run: func(f *simulatedFleet) {
			for range 2 {
				time.Sleep(4 * time.Second)
				f.restartOwner()
			}
		}},
		{name: "store set back", run: func(f *simulatedFleet) {
			earlier := f.deployment.store.copy()
			time.Sleep(5 * time.Second)
			f.deployment.store.setBack(earlier)
		}},
	}
	for _, size := range sizesOf(15) {
		for _, s := range []struct {
			service string
			leaving int
		}{{"plain", 1}, {"model", 3}, {"model", 8}} {
			for _, e := range events {
				t.Run(fmt.Sprintf("%d hosts, %d of 8 %s, %s", size, s.leaving, s.service, e.name), func(t *testing.T) {
					clearPools()
					synctest.Test(t, func(t *testing.T) {
						defer clearPools()
						f := newMixedFleet(t, size)
						targets := make(map[swid.TargetID]*leavingTarget)
						leaving := 0
						for id := range f.deployment.targets {
							targets[id] = &leavingTarget{id: id, fleet: f}
							if strings.HasPrefix(string(id), s.service) && leaving < s.leaving {
								targets[id].from = time.Now().Add(7 * time.Second)
								leaving++
							}
						}
						f.adapter = func(id swid.TargetID) swtarget.Adapter { return &leavingTargetView{target: targets[id]} }
						f.startAll()
						f.observe(4)
						ctx, stop := context.WithTimeout(context.Background(), span)
						defer stop()
						var requests outcomes
						var senders sync.WaitGroup
						sentAt := func() string { return fmt.Sprint(time.Now().UnixNano()) }
						senders.Go(func() { f.sendEvery(ctx, time.Second/rate, "/"+s.service+"/x", sentAt, &requests) })
						if e.run != nil {
							e.run(f)
						}
						<-ctx.Done()
						senders.Wait()
						f.killAll()
						for _, l := range targets {
							if l.late > 0 {
								t.Errorf("%s got %d requests that were sent later than %v after their host had passed on that it is leaving", l.id, l.late, drainTime)
							}
						}
						if share := float64(requests.answered) / float64(requests.sent); s.leaving < 8 && share < minServed {
							t.Errorf("%.2f of the requests were answered, although most targets stay", share)
						}
					})
				})
			}
		}
	}
}
