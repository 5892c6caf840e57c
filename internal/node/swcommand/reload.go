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

// settingsPollInterval is how often the settings file is checked for changes, because
// it may change without a signal.
const settingsPollInterval = 5 * swclock.Second

// watchSettings reloads the settings when a hangup signal arrives or the settings file
// has changed, until ctx ends. Invalid settings are logged and not applied.
func watchSettings(ctx context.Context, path string, hangups <-chan os.Signal, log zerolog.Logger, reload func(*swsettings.Settings)) {
	ticker := time.NewTicker(settingsPollInterval.Duration())
	defer ticker.Stop()
	last := statFile(path)
	for {
		select {
		case <-hangups:
		case <-ticker.C:
			if statFile(path) == last {
				continue
			}
		case <-ctx.Done():
			return
		}
		last = statFile(path)
		settings, err := swsettings.Load(path)
		if err != nil {
			log.Error().Err(err).Str("file", path).Msg("settings not reloaded")
			continue
		}
		reload(settings)
	}
}

// notifyHangups relays hangup signals (SIGHUP) to a channel, so that they do not end the process.
func notifyHangups() (hangups <-chan os.Signal, release func()) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return signals, func() { signal.Stop(signals) }
}

// fileState identifies a version of a file. Two states are compared to detect a change.
type fileState struct {
	modified time.Time
	size     int64
}

// statFile returns the state of a file, or the zero state if it cannot be accessed.
// It drops the error, because loading the file reports the reason.
func statFile(path string) fileState {
	info, err := os.Stat(path)
	if err != nil {
		return fileState{}
	}
	return fileState{modified: info.ModTime(), size: info.Size()}
}
