package swbuffer

import (
	"bytes"
	"testing"

	"github.com/pkg/errors"
	"pgregory.net/rapid"
)

// TestBudget checks that accounts never hold more than the capacity together, whatever is done with them, and nothing once closed.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.Int64Range(0, 1<<20).Draw(t, "capacity")
		b := NewBudget(capacity)
		accounts := make([]*Account, rapid.IntRange(1, 6).Draw(t, "accounts"))
		for i := range accounts {
			accounts[i] = b.Open()
		}
		held := make([]int64, len(accounts))
		closed := make([]bool, len(accounts))
		t.Repeat(map[string]func(*rapid.T){
			"reserve": func(t *rapid.T) {
				i, n := rapid.IntRange(0, len(accounts)-1).Draw(t, "account"), rapid.IntRange(0, 1<<19).Draw(t, "bytes")
				if err := accounts[i].Reserve(n); err == nil {
					held[i] += int64(n)
				} else if !errors.Is(err, ErrExceeded) {
					t.Errorf("error %v", err)
				}
				if closed[i] && held[i] > 0 {
					t.Errorf("a closed account holds %d bytes", held[i])
				}
			},
			"release": func(t *rapid.T) {
				i, n := rapid.IntRange(0, len(accounts)-1).Draw(t, "account"), rapid.IntRange(0, 1<<19).Draw(t, "bytes")
				accounts[i].Release(n)
				held[i] -= min(held[i], int64(n))
			},
			"close": func(t *rapid.T) {
				i := rapid.IntRange(0, len(accounts)-1).Draw(t, "account")
				accounts[i].Close()
				held[i], closed[i] = 0, true
			},
			"": func(t *rapid.T) {
				sum := int64(0)
				for _, h := range held {
					sum += h
				}
				if got := b.Held(); got != sum || got > capacity {
					t.Errorf("%d bytes held, want %d, at most %d", got, sum, capacity)
				}
			},
		})
		for _, a := range accounts {
			a.Close()
		}
		if b.Held() != 0 {
			t.Errorf("%d bytes held by closed accounts", b.Held())
		}
	})
}

// TestShares checks what accounts that take what they can get leave to others.
func TestShares(t *testing.T) {
	const capacity = 30 << 20
	for _, endless := range []int{0, 1, 2, 8, 100} {
		b := NewBudget(capacity)
		accounts := make([]*Account, endless)
		for i := range accounts {
			accounts[i] = b.Open()
		}
		for again := true; again; {
			again = false
			for _, a := range accounts {
				again = a.Reserve(maxSegmentBytes) == nil || again
			}
		}
		if refused := b.Refused(); refused != uint64(endless) {
			t.Errorf("%d endless accounts: %d are counted as refused", endless, refused)
		}
		free := b.Capacity() - b.Held()
		if want := int64(capacity / (endless + 1)); free < want {
			t.Errorf("%d endless accounts leave %d bytes free, want %d", endless, free, want)
		}
		if err := b.Open().Reserve(int(free / 2)); err != nil {
			t.Errorf("%d endless accounts: another one cannot take half of what is free: %v", endless, err)
		}
	}
}

// TestBody checks that a body has what was appended to it, in whatever pieces, and that its account holds little more.
func TestBody(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBudget(1 << 24)
		a := b.Open()
		body := NewBody(a)
		var want []byte
		for _, n := range rapid.SliceOfN(rapid.IntRange(0, 3*maxSegmentBytes), 0, 20).Draw(t, "pieces") {
			piece := bytes.Repeat([]byte{byte(len(want))}, n)
			want = append(want, piece...)
			if err := body.Append(piece); err != nil {
				t.Fatal(err)
			}
		}
		if got := body.Bytes(); !bytes.Equal(got, want) || body.Len() != len(want) || !bytes.Equal(bytes.Join(body.Segments(), nil), want) {
			t.Errorf("a body of %d bytes, want %d", body.Len(), len(want))
		}
		if held, most := b.Held(), int64(2*len(want)+minSegmentBytes); held < int64(len(want)) || held > min(most, int64(len(want)+maxSegmentBytes)) {
			t.Errorf("%d bytes held for %d", held, len(want))
		}
		body.Release()
		if b.Held() != 0 || body.Len() != 0 {
			t.Errorf("%d bytes held after the release", b.Held())
		}
	})
}

// TestCapacity checks the capacity for a process's memory.
func TestCapacity(t *testing.T) {
	tests := []struct{ memory, want int64 }{{0, DefaultCapacity}, {1 << 20, minCapacity}, {120e6, 30e6}, {206e6, 51.5e6}}
	for _, tt := range tests {
		if got := CapacityOf(tt.memory); got != tt.want {
			t.Errorf("memory %d: capacity %d, want %d", tt.memory, got, tt.want)
		}
	}
}
