package swdaemon

import (
	"context"

	"github.com/sourcegraph/conc"

	"github.com/sassafraswing/sassafraswing/internal/config/swdoc"
	"github.com/sassafraswing/sassafraswing/internal/core/swcell"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/target/swprobe"
)

// targetWatcher implements swowner.Watcher with a poller for each target.
type targetWatcher struct {
	clock   swclock.Clock
	pollers conc.WaitGroup
}

// Watch implements swowner.Watcher.
func (w *targetWatcher) Watch(ctx context.Context, _ swid.CellID, targets []swdoc.Target, report func(swcell.Event)) {
	for _, t := range targets {
		p := swprobe.New(swprobe.Config{Target: t.ID, URL: t.URL, Plain: t.Generation == ""}, w.clock, report)
		w.pollers.Go(func() { p.Run(ctx) })
	}
}
