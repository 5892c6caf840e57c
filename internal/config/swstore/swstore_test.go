package swstore

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/google/uuid"
	"pgregory.net/rapid"

	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/stand/swmemstore"
	"github.com/sassafraswing/sassafraswing/internal/store/swobject"
)

// largeDocument returns lines like those of a document with n organisations.
func largeDocument(n int) []byte {
	var b bytes.Buffer
	for i := range n {
		fmt.Fprintf(&b, "  - {id: o%d, class: small, keyHashes: [%064x]}\n", i, i)
	}
	return b.Bytes()
}

func TestLargeDocument(t *testing.T) {
	objects := swmemstore.New(1)
	s := New(objects, "trial")
	document := largeDocument(26_000)
	if len(document) <= swobject.MaxValueBytes {
		t.Fatalf("%d bytes fit into one value", len(document))
	}
	if _, err := s.Apply(t.Context(), Change{ID: "first", Document: document}); err != nil {
		t.Fatal(err)
	}
	head, loaded, err := s.Load(t.Context())
	if err != nil || !bytes.Equal(loaded, document) || head.Version != 1 {
		t.Fatalf("version %d, %d bytes, %v", head.Version, len(loaded), err)
	}
	value, err := EncodeHead(head)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d bytes, %d parts, head of %d bytes", len(document), len(head.Parts), len(value))
	recorded := AppliedChange{ID: ChangeID(uuid.NewString()), Base: 730_000, Version: 730_001}
	head.Recent = slices.Repeat([]AppliedChange{recorded}, maxRecent)
	if value, err = EncodeHead(head); err != nil || len(value) > swobject.MaxValueBytes/8 {
		t.Errorf("a head with maxRecent changes has %d bytes, %v", len(value), err)
	}
	t.Logf("with %d recent changes: %d bytes", maxRecent, len(value))

	before, _ := objects.Calls()
	changed := bytes.Replace(document, []byte("id: o13000,"), []byte("id: o13000, weight: 2,"), 1)
	if _, err := s.Apply(t.Context(), Change{ID: "second", Base: 1, Document: changed}); err != nil {
		t.Fatal(err)
	}
	if after, _ := objects.Calls(); after-before > 4 {
		t.Errorf("a change of one line took %d writes", after-before)
	}
}

func TestCut(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lines := rapid.SliceOfN(rapid.IntRange(0, 3*MaxPartBytes/2), 0, 8).Draw(t, "lines")
		var document []byte
		for i, n := range lines {
			document = append(document, bytes.Repeat([]byte{byte('a' + i)}, n)...)
			document = append(document, '\n')
		}
		parts := Split(document)
		for _, p := range parts {
			if len(p) == 0 || len(p) > MaxPartBytes {
				t.Fatalf("a part of %d bytes", len(p))
			}
		}
		if !bytes.Equal(bytes.Join(parts, nil), document) {
			t.Fatal("the parts do not form the document")
		}
	})
}

func TestApplyOutcomes(t *testing.T) {
	objects := swmemstore.New(1)
	s := New(objects, "trial")
	apply := func(id ChangeID, base swid.ConfigVersion, text string) (Head, error) {
		return s.Apply(t.Context(), Change{ID: id, Base: base, Document: []byte(text)})
	}
	if h, err := apply("a", 0, "one"); err != nil || h.Version != 1 {
		t.Fatalf("first: %v, %v", h.Version, err)
	}
	if h, err := apply("b", 1, "two"); err != nil || h.Version != 2 {
		t.Fatalf("second: %v, %v", h.Version, err)
	}
	var conflict *ConflictError
	if _, err := apply("c", 1, "three"); !errors.As(err, &conflict) || conflict.Current != 2 || conflict.CurrentID != "b" {
		t.Errorf("an old base: %v", err)
	}
	if h, err := apply("a", 0, "one"); err != nil || h.Version != 1 {
		t.Errorf("a change sent again: version %d, %v", h.Version, err)
	}
	if _, err := apply("a", 2, "other"); !errors.Is(err, ErrChangeReused) {
		t.Errorf("an id used twice: %v", err)
	}
	if _, err := apply("d", 7, "x"); !errors.As(err, &conflict) {
		t.Errorf("a base that never was: %v", err)
	}
	objects.SetFaults(swmemstore.Faults{Outage: true})
	if _, err := apply("e", 2, "x"); !errors.Is(err, ErrNotApplied) {
		t.Errorf("in an outage: %v", err)
	}
	if _, err := apply("f", 2, strings.Repeat("x", MaxDocumentBytes+1)); !errors.Is(err, ErrTooLarge) {
		t.Errorf("a document too large: %v", err)
	}
}

// TestLongAgo checks that Apply still finds the outcome of a change after many
// others, and returns ErrOutcomeUnknown instead of a conflict for a base older than
// all pages read.
func TestLongAgo(t *testing.T) {
	s := New(swmemstore.New(1), "trial")
	for i := range 3*maxRecent + 5 {
		c := Change{ID: ChangeID(fmt.Sprint(i)), Base: swid.ConfigVersion(i), Document: fmt.Append(nil, i)}
		if _, err := s.Apply(t.Context(), c); err != nil {
			t.Fatal(err)
		}
	}
	for _, i := range []int{0, 1, changesPerPage, maxRecent, 2*maxRecent - 1} {
		base := swid.ConfigVersion(i)
		head, err := s.Apply(t.Context(), Change{ID: ChangeID(fmt.Sprint(i)), Base: base, Document: fmt.Append(nil, i)})
		if err != nil || head.Version != base+1 {
			t.Errorf("change %d: version %d, %v", i, head.Version, err)
		}
		var conflict *ConflictError
		if _, err := s.Apply(t.Context(), Change{ID: "late", Base: base}); !errors.As(err, &conflict) {
			t.Errorf("a late change of base %d: %v", i, err)
		}
	}
	s.maxPages = 1
	if _, err := s.Apply(t.Context(), Change{ID: "0", Document: []byte("0")}); !errors.Is(err, ErrOutcomeUnknown) {
		t.Errorf("beyond the pages read: %v", err)
	}
}

// history records which change wrote each version.
type history struct {
	mutex    sync.Mutex
	versions map[swid.ConfigVersion]ChangeID
}

func (h *history) add(t *testing.T, version swid.ConfigVersion, id ChangeID) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if other, ok := h.versions[version]; ok && other != id {
		t.Errorf("version %d is of %s and of %s", version, other, id)
	}
	h.versions[version] = id
}

func (h *history) addHead(t *testing.T, head Head) {
	if head.Version > 0 {
		h.add(t, head.Version, head.Last.ID)
	}
	for _, c := range head.Recent {
		h.add(t, c.Version, c.ID)
	}
}

// TestRacingApplies runs concurrent operators while responses are lost. Each change
// must be confirmed once, with the version that it has in the history.
func TestRacingApplies(t *testing.T) {
	const operators, wanted = 8, 200
	objects := swmemstore.New(7)
	objects.SetFaults(swmemstore.Faults{LostResponseRate: 0.4})
	s := New(objects, "trial")
	seen := &history{versions: make(map[swid.ConfigVersion]ChangeID)}
	confirmed := &history{versions: make(map[swid.ConfigVersion]ChangeID)}
	var group sync.WaitGroup
	for o := range operators {
		group.Go(func() {
			for i := range wanted / operators {
				id := ChangeID(fmt.Sprintf("operator-%d-%d", o, i))
				confirmed.add(t, applyUntilDone(t, s, seen, id), id)
			}
		})
	}
	group.Wait()
	head, err := s.Head(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	seen.addHead(t, head)
	if len(confirmed.versions) != wanted || head.Version != wanted || len(seen.versions) != wanted {
		t.Errorf("%d changes confirmed, %d in the history, head at %d, want %d", len(confirmed.versions), len(seen.versions), head.Version, wanted)
	}
	for v, id := range confirmed.versions {
		if seen.versions[v] != id {
			t.Errorf("version %d was confirmed to %s, but is of %q", v, id, seen.versions[v])
		}
	}
}

// applyUntilDone applies a change and rebases it after each conflict, as an operator does.
func applyUntilDone(t *testing.T, s *Store, seen *history, id ChangeID) swid.ConfigVersion {
	for {
		head, err := s.Head(t.Context())
		if err != nil {
			t.Error(err)
			return 0
		}
		seen.addHead(t, head)
		done, err := s.Apply(t.Context(), Change{ID: id, Base: head.Version, Document: []byte(id)})
		var conflict *ConflictError
		if err == nil {
			return done.Version
		}
		if !errors.As(err, &conflict) {
			t.Errorf("change %s: %v", id, err)
			return 0
		}
	}
}
