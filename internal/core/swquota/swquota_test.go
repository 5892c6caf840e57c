package swquota

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

const window = 8 * swclock.Second

var limit = Limit{Rate: 1000, Burst: 1000}

// onlyProcess is the process of tests that need just one.
var onlyProcess = Process{Host: "h", Incarnation: 1}

func processOf(host, incarnation int) Process {
	return Process{Host: swid.HostID(fmt.Sprint(host)), Incarnation: swid.Incarnation(incarnation)}
}

// quota is the amount that limit allows in a window.
const quota = 9000

func newLedger(hosts int) *Ledger {
	l := New(window)
	l.Configure(map[swid.OrgID]Limit{"o": limit})
	l.SetHosts(hosts)
	return l
}

// charge is an admitted request.
type charge struct {
	at     swclock.Millis
	amount float64
}

// maxInWindow returns the largest sum of the charges in any window.
func maxInWindow(all []charge) float64 {
	largest := 0.0
	for i, first := range all {
		sum := 0.0
		for _, c := range all[i:] {
			if c.at-first.at < window {
				sum += c.amount
			}
		}
		largest = max(largest, sum)
	}
	return largest
}

// TestWindows draws requests of one host and checks that none of its windows
// exceeds the quota.
func TestWindows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newLedger(1)
		var all []charge
		now := swclock.Millis(rapid.IntRange(0, 10_000).Draw(t, "start"))
		for range rapid.IntRange(1, 200).Draw(t, "requests") {
			now += swclock.Millis(rapid.IntRange(0, 400).Draw(t, "gap"))
			amount := float64(rapid.IntRange(1, 1000).Draw(t, "amount"))
			l.Register(onlyProcess, window, false, nil, now)
			if _, ok := l.Take(onlyProcess, "o", amount, 0, now); ok {
				all = append(all, charge{now, amount})
			}
		}
		if sum := maxInWindow(all); sum > quota {
			t.Fatalf("%v used in a window, at most %d are allowed", sum, quota)
		}
	})
}

// fleet is a number of hosts, each registered with one of several owners.
type fleet struct {
	limit  Limit
	owners []*Ledger
	meters []*Meter
	// owner is the index of the owner that each host is registered with.
	owner []int
	// reportsAll is true if the next registration of a host reports its complete use.
	reportsAll []bool
	// restarts counts the restarts of each host. A host that is down does nothing.
	restarts []int
	started  []swclock.Millis
	down     []bool
	now      swclock.Millis
	admitted []charge
}

func newFleet(hosts, owners int, limit Limit) *fleet {
	f := &fleet{limit: limit, owner: make([]int, hosts), reportsAll: make([]bool, hosts), restarts: make([]int, hosts), started: make([]swclock.Millis, hosts), down: make([]bool, hosts)}
	for range owners {
		f.owners = append(f.owners, f.newLedger(hosts))
	}
	for i := range hosts {
		f.meters = append(f.meters, NewMeter(window))
		f.reportsAll[i], f.started[i] = true, -window
	}
	return f
}

func (f *fleet) newLedger(hosts int) *Ledger {
	l := newLedger(hosts)
	l.Configure(map[swid.OrgID]Limit{"o": f.limit})
	return l
}

// step has each host renew its registration and send requests, then advances the
// time by a tenth of a second.
func (f *fleet) step(requests int, amount float64) {
	for h, m := range f.meters {
		if f.down[h] {
			continue
		}
		owner, host := f.owners[f.owner[h]], processOf(h, f.restarts[h])
		if f.reportsAll[h] {
			owner.Register(host, f.now-f.started[h], true, m.All(f.now), f.now)
			f.reportsAll[h] = false
		} else {
			owner.Register(host, f.now-f.started[h], false, m.Unreported(), f.now)
		}
		for range requests {
			if _, ok := owner.Take(host, "o", amount, 0, f.now); ok {
				m.Add("o", amount, true, f.now)
				f.admitted = append(f.admitted, charge{f.now, amount})
			}
		}
	}
	f.now += 100
}

// move registers a host with another owner.
func (f *fleet) move(host, owner int) {
	if f.owner[host] == owner {
		return
	}
	f.owners[f.owner[host]].Deregister(processOf(host, f.restarts[host]))
	f.reportsAll[host] = true
	f.owner[host] = owner
}

// TestOwnersChange moves hosts between owners while an organisation requests five
// times its rate, and checks that no window exceeds the bound of the platform: a
// tenth above the quota, plus a slack of another tenth.
func TestOwnersChange(t *testing.T) {
	const hosts = 10
	tests := []struct {
		name string
		move func(f *fleet, step int)
		// amount is that of one request; the total requested is the same in all cases.
		amount float64
		// minShare is the share of the quota that must be served. It is lower where
		// only whole large requests fit into the shares of single hosts.
		minShare float64
	}{
		{"one owner", func(*fleet, int) {}, 50, 0.8},
		{"large requests at hosts that are alone", func(f *fleet, step int) {
			if step == 100 {
				for h := range 4 {
					f.move(h, h+1)
				}
			}
		}, 800, 0.7},
		{"all to another at once", func(f *fleet, step int) {
			if step == 100 {
				for h := range hosts {
					f.move(h, 1)
				}
			}
		}, 50, 0.8},
		{"one after the other", func(f *fleet, step int) {
			if step >= 100 && step < 110 {
				f.move(step-100, 1)
			}
		}, 50, 0.8},
		{"a half for good", func(f *fleet, step int) {
			if step == 100 {
				for h := range hosts / 2 {
					f.move(h, 1)
				}
			}
		}, 50, 0.8},
		{"five owners, four of them alone", func(f *fleet, step int) {
			if step == 100 {
				for h := range 4 {
					f.move(h, h+1)
				}
			}
		}, 50, 0.8},
		{"to and fro", func(f *fleet, step int) {
			for h := range hosts {
				f.move(h, (step/20+h%2)%3)
			}
		}, 50, 0.8},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleet(hosts, 5, limit)
			for step := range 300 {
				tt.move(f, step)
				if every := max(int(tt.amount)/50, 1); step%every == 0 {
					f.step(1, tt.amount)
				} else {
					f.step(0, 0)
				}
			}
			if sum := maxInWindow(f.admitted); sum > quota*1.2 {
				t.Errorf("%v used in a window, at most %v are allowed", sum, quota*1.2)
			}
			served := 0.0
			for _, c := range f.admitted {
				served += c.amount
			}
			if minServed := 30 * limit.Rate * tt.minShare; served < minServed {
				t.Errorf("%v used in 30 s, want at least %v of the quota", served, minServed)
			}
		})
	}
}

// TestRestarts restarts hosts while an organisation requests five times its rate,
// and checks that no window exceeds the bound of TestOwnersChange.
func TestRestarts(t *testing.T) {
	const hosts = 10
	tests := []struct {
		name string
		// hosts is the number of hosts that restart, and every is the number of steps
		// between restarts. If owner is set, the owner restarts too and loses its ledger.
		hosts, every int
		owner        bool
	}{
		{"all at once", hosts, 1000, true},
		{"a half, and the owner goes on", hosts / 2, 1000, false},
		{"a half, again and again", hosts / 2, 30, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleet(hosts, 1, limit)
			for step := range 300 {
				if step >= 100 && (step-100)%tt.every == 0 {
					f.restart(tt.hosts, tt.owner)
				}
				f.step(1, 50)
			}
			if sum := maxInWindow(f.admitted); sum > quota*1.2 {
				t.Errorf("%v used in a window, at most %v are allowed", sum, quota*1.2)
			}
		})
	}
}

// restart restarts the processes of the first hosts, and of the owner if set.
func (f *fleet) restart(hosts int, owner bool) {
	if owner {
		f.owners[0] = f.newLedger(len(f.meters))
	}
	for h := range hosts {
		f.restarts[h]++
		f.meters[h], f.started[h] = NewMeter(window), f.now
		f.reportsAll[h] = true
	}
}

// TestOwnerAndOthersReturn stops an owner and other hosts for two seconds. The
// hosts that remain register with a second owner. After the restart all hosts register
// with a third owner, which has a record of the use of the remaining hosts only. No window
// may exceed the bound of TestOwnersChange, although the use of the stopped hosts is
// lost.
func TestOwnerAndOthersReturn(t *testing.T) {
	const hosts = 10
	// The burst is large relative to the rate, because the platform's tolerance adds to it.
	large := Limit{Rate: 1000, Burst: 6000}
	tests := []struct {
		name string
		// lost is the number of hosts that stop, and before is the number of steps before
		// the stop at which an organisation starts to request 15 times its rate or more.
		lost, before int
	}{
		{"six of ten, soon after", 6, 5},
		{"six of ten, half a window after", 6, 40},
		{"eight of ten, half a window after", 8, 40},
		{"three of ten, a quarter of a window after", 3, 20},
		{"all, half a window after", hosts, 40},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleet(hosts, 3, large)
			for step := range 300 {
				switch step {
				case 100:
					for h := range hosts {
						f.down[h] = h < tt.lost
						f.move(h, 1)
					}
				case 120:
					f.restart(tt.lost, false)
					for h := range hosts {
						f.down[h] = false
						f.move(h, 2)
					}
				}
				switch {
				case step < 100-tt.before:
					f.step(0, 0)
				case step < 100 && tt.before < 10:
					f.step(8, 100) // uses up the burst at once
				default:
					f.step(3, 50)
				}
			}
			if sum, allowed := maxInWindow(f.admitted), large.allowance(window)*1.2; sum > allowed {
				t.Errorf("%v used in a window, at most %v are allowed", sum, allowed)
			}
			served := 0.0
			for _, c := range f.admitted {
				served += c.amount
			}
			if minServed := float64(200+tt.before) / 10 * limit.Rate * 0.7; served < minServed {
				t.Errorf("%v used, want at least %v of the quota", served, minServed)
			}
		})
	}
}

// TestUntold checks that a ledger counts requests that a host admitted without a
// decision of its owner, and that the host reports their use only once.
func TestUntold(t *testing.T) {
	l, m := newLedger(1), NewMeter(window)
	l.Register(onlyProcess, window, true, m.All(0), 0)
	m.Add("o", 5000, false, 100)
	l.Register(onlyProcess, window, false, m.Unreported(), 500)
	if _, ok := l.Take(onlyProcess, "o", 2000, 0, 500); ok {
		t.Error("admitted above the quota")
	}
	if len(m.Unreported()) > 0 {
		t.Error("the same amounts were reported twice")
	}
}

// TestWait checks that a refused request fits after the wait that Take returns.
func TestWait(t *testing.T) {
	l := newLedger(1)
	now := swclock.Millis(0)
	for range 9 {
		l.Register(onlyProcess, window, false, nil, now)
		l.Take(onlyProcess, "o", 200, 0, now)
		now += 100
	}
	wait, ok := l.Take(onlyProcess, "o", 500, 0, now)
	if ok || wait <= 0 || wait > window {
		t.Fatalf("wait %d, admitted %t", wait, ok)
	}
	if _, ok := l.Take(onlyProcess, "o", 500, 0, now+wait); !ok {
		t.Error("refused after the returned wait")
	}
}

// TestReserve checks that requests of lower tiers are refused first.
func TestReserve(t *testing.T) {
	l := newLedger(1)
	l.Take(onlyProcess, "o", 850, 0, 0)
	if _, ok := l.Take(onlyProcess, "o", 100, 0.2, 0); ok {
		t.Error("a lower tier was admitted into the reserve")
	}
	if _, ok := l.Take(onlyProcess, "o", 100, 0, 0); !ok {
		t.Error("the highest tier was refused within the quota")
	}
}

// TestLargerThanBurst checks that a request larger than the burst is admitted, and
// that later requests are refused until the rate has made up for the overdraft.
func TestLargerThanBurst(t *testing.T) {
	l := newLedger(1)
	if _, ok := l.Take(onlyProcess, "o", 3000, 0, 0); !ok {
		t.Fatal("refused although nothing was used")
	}
	if _, ok := l.Take(onlyProcess, "o", 100, 0, 1900); ok {
		t.Error("admitted before the overdraft was made up for")
	}
	if _, ok := l.Take(onlyProcess, "o", 100, 0, 3200); !ok {
		t.Error("refused after the overdraft was made up for")
	}
}

// TestReturn checks that the charge of a request that did not run is refunded.
func TestReturn(t *testing.T) {
	l := newLedger(1)
	l.Take(onlyProcess, "o", 1000, 0, 0)
	l.Return(onlyProcess, "o", 1000, 100)
	if _, ok := l.Take(onlyProcess, "o", 1000, 0, 100); !ok {
		t.Error("refused after the refund")
	}
}

// TestServedAfterRestart restarts all hosts and checks that no request of the lowest
// tier is refused while its organisation requests two thirds of its rate.
func TestServedAfterRestart(t *testing.T) {
	const hosts = 10
	l := newLedger(hosts)
	for h := range hosts {
		l.Register(processOf(h, 1), 0, true, nil, 0)
	}
	for now := swclock.Millis(500); now < 2*window; now += 100 {
		for h := range hosts {
			l.Register(processOf(h, 1), now, false, nil, now)
		}
		if _, ok := l.Take(processOf(0, 1), "o", 66, 0.2, now); !ok {
			t.Fatalf("refused at %d", now)
		}
	}
}

// TestWaitForgetsNothing checks that computing the wait of a refused request, which
// evaluates instants up to a window ahead, drops neither recorded use nor the use
// assumed before the start of a process.
func TestWaitForgetsNothing(t *testing.T) {
	l := newLedger(1)
	l.Register(onlyProcess, 0, true, nil, 0)
	for range 20 {
		l.Take(onlyProcess, "o", 100, 0, 100)
	}
	before := l.recentUse("o", 100)
	l.wait(func(swid.OrgID, Limit, float64, swclock.Millis) bool { return false }, "o", limit, 100, 100)
	for at := swclock.Millis(600); at < window; at += 500 {
		l.fitsAllSpans("o", limit, 100, at+window)
	}
	if after := l.recentUse("o", 100); after != before {
		t.Errorf("recent use is %v after computing the wait, was %v", after, before)
	}
}
