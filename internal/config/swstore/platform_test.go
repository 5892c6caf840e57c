package swstore

import (
	"errors"
	"fmt"
	"net/http/httptest"
	"testing"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/stand/swfault"
	"github.com/sassafraswing/sassafraswing/internal/stand/swplatform"
	"github.com/sassafraswing/sassafraswing/internal/store/swhttpstore"
)

// TestPlatformLosesAnswers applies changes over HTTP while the platform closes the
// connection after a write, without a response. Writes of parts precede the write of a head.
func TestPlatformLosesAnswers(t *testing.T) {
	p := swplatform.New(swplatform.Config{})
	server := httptest.NewServer(p.Handler())
	t.Cleanup(func() {
		p.Close()
		server.Close()
	})
	config := swhttpstore.Config{URL: server.URL, Timeout: 2 * swclock.Second, ReadsPerSecond: 1000, WritesPerSecond: 1000}
	s := New(swhttpstore.New(config, swclock.NewSystem()), "trial")
	var base swid.ConfigVersion
	for lost := range 4 {
		if lost > 0 {
			if err := p.Faults().Add(swfault.Fault{Kind: swplatform.KindLoseAnswer, Count: lost}); err != nil {
				t.Fatal(err)
			}
		}
		c := Change{ID: ChangeID(fmt.Sprint("change-", lost)), Base: base, Document: fmt.Append(nil, "document ", lost)}
		head, err := s.Apply(t.Context(), c)
		if err != nil || head.Version <= base {
			t.Fatalf("%d lost answers: version %d, %v", lost, head.Version, err)
		}
		var conflict *ConflictError
		if _, err := s.Apply(t.Context(), Change{ID: "late", Base: base, Document: c.Document}); !errors.As(err, &conflict) {
			t.Errorf("a change of an old base: %v", err)
		}
		base = head.Version
		if _, document, err := s.Load(t.Context()); err != nil || string(document) != string(c.Document) {
			t.Errorf("read %q, %v", document, err)
		}
	}
}
