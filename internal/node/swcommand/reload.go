package swcommand

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"github.com/sassafraswing/sassafraswing/internal/config/swsettings"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
)

// settingsInterval is the time between two looks at the settings file, which may
// change without a signal.
const settingsInterval = 5 * swclock.Second

// followSettings reads the settings again when a hang-up signal comes or their
// file has changed, until ctx ends. Settings that are invalid change nothing.
func followSettings(ctx context.Context, path string, hangUps <-chan os.Signal, log zerolog.Logger, reload func(*swsettings.Settings)) {
	ticker := time.NewTicker(settingsInterval.Duration())
	defer ticker.Stop()
	last := modified(path)
	for {
		select {
		case <-hangUps:
		case <-ticker.C:
			if modified(path) == last {
				continue
			}
		case <-ctx.Done():
			return
		}
		last = modified(path)
		settings, err := swsettings.Load(path)
		if err != nil {
			log.Error().Err(err).Str("file", path).Msg("settings not reloaded")
			continue
		}
		reload(settings)
	}
}

// notifyHangUps has hang-up signals sent to a channel instead of ending the process.
func notifyHangUps() (hangUps <-chan os.Signal, release func()) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return signals, func() { signal.Stop(signals) }
}

// fileState tells whether a file has changed.
type fileState struct {
	at   time.Time
	size int64
}

// modified returns the state of a file, or the zero state if it cannot be read;
// reading it tells why.
func modified(path string) fileState {
	info, err := os.Stat(path)
	if err != nil {
		return fileState{}
	}
	return fileState{at: info.ModTime(), size: info.Size()}
}
