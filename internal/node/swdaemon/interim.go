package swdaemon

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sassafraswing/sassafraswing/internal/config/swdoc"
	"github.com/sassafraswing/sassafraswing/internal/core/swcell"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/peer/swlink"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmember"
	"github.com/sassafraswing/sassafraswing/internal/peer/swmsg"
	"github.com/sassafraswing/sassafraswing/internal/platform/swobject"
)

// polledMembers follows the platform's list.
type polledMembers struct {
	store swobject.Store
	mu    sync.Mutex
	list  []swmember.Member
	subs  []func([]swmember.Member)
}

func (p *polledMembers) Members() []swmember.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.list
}

func (p *polledMembers) Subscribe(f func([]swmember.Member)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.subs = append(p.subs, f)
}

func (p *polledMembers) Receive(swlink.Peer, swmsg.Message) {}

func (p *polledMembers) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if hosts, err := p.store.Hosts(ctx); err == nil {
			p.set(hosts)
		}
		select {
		case <-time.After(time.Second):
		case <-ctx.Done():
		}
	}
}

func (p *polledMembers) set(hosts []swobject.Host) {
	var list []swmember.Member
	for _, h := range hosts {
		state := swmsg.MemberAlive
		if h.State == swobject.HostLeaving {
			state = swmsg.MemberLeaving
		}
		list = append(list, swmember.Member{Host: h.ID, Zone: h.Zone, Region: h.Region, Address: h.Address, State: state})
	}
	slices.SortFunc(list, func(a, b swmember.Member) int { return strings.Compare(string(a.Host), string(b.Host)) })
	p.mu.Lock()
	same := slices.Equal(list, p.list)
	p.list = list
	subs := slices.Clone(p.subs)
	p.mu.Unlock()
	if same {
		return
	}
	for _, f := range subs {
		f(list)
	}
}

type noWatch struct{}

func (noWatch) Watch(context.Context, swid.CellID, []swdoc.Target, func(swcell.Event)) {}
