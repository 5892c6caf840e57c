package swcommand

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/sassafraswing/sassafraswing/internal/config/swexample"
	"github.com/sassafraswing/sassafraswing/internal/config/swsettings"
)

// TestFollowSettings checks that a hangup signal reloads the settings, and that invalid
// settings are ignored. The test repeats the signal until the settings are reloaded.
func TestFollowSettings(t *testing.T) {
	path := filepath.Join(t.TempDir(), "host.yaml")
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	valid := string(swexample.Settings())
	write(valid)
	settings, err := swsettings.Load(path)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	hangups, release := notifyHangups()
	defer release()
	reloaded := make(chan *swsettings.Settings)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		watchSettings(ctx, path, hangups, zerolog.Nop(), func(s *swsettings.Settings) {
			select {
			case reloaded <- s:
			case <-ctx.Done(): // a hangup that the test no longer waits for
			}
		})
	}()
	sendHangup := func() *swsettings.Settings {
		for start := time.Now(); time.Since(start) < time.Minute; {
			if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
				t.Fatal(err)
			}
			select {
			case s := <-reloaded:
				return s
			case <-time.After(10 * time.Millisecond):
			}
		}
		t.Fatal("settings were not reloaded")
		return nil
	}
	if s := sendHangup(); s.Host != settings.Host {
		t.Errorf("host %s, want %s", s.Host, settings.Host)
	}
	write(strings.Replace(valid, "host: "+string(settings.Host), "host: [", 1))
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	select {
	case s := <-reloaded:
		if s.Host != settings.Host {
			t.Errorf("invalid settings were applied: %+v", s)
		}
	case <-time.After(100 * time.Millisecond):
	}
	write(strings.Replace(valid, "host: "+string(settings.Host), "host: renamed", 1))
	for s := sendHangup(); s.Host != "renamed"; s = sendHangup() {
	}
	stop()
	<-ended
}
