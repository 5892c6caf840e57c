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

// TestFollowSettings hangs up until the settings are read again; invalid ones are passed over.
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
	hangUps, release := notifyHangUps()
	defer release()
	reloaded := make(chan *swsettings.Settings)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		followSettings(ctx, path, hangUps, zerolog.Nop(), func(s *swsettings.Settings) { reloaded <- s })
	}()
	hangUp := func() *swsettings.Settings {
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
	if s := hangUp(); s.Host != settings.Host {
		t.Errorf("host %s, want %s", s.Host, settings.Host)
	}
	write(strings.Replace(valid, "host: "+string(settings.Host), "host: [", 1))
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	select {
	case s := <-reloaded:
		if s.Host != settings.Host {
			t.Errorf("invalid settings were taken: %+v", s)
		}
	case <-time.After(100 * time.Millisecond):
	}
	write(strings.Replace(valid, "host: "+string(settings.Host), "host: renamed", 1))
	for s := hangUp(); s.Host != "renamed"; s = hangUp() {
	}
	stop()
	<-ended
}
