package swprompt

import (
	"strings"
	"testing"

	"github.com/sassafraswing/sassafraswing/internal/core/swprefix"
)

func TestDepths(t *testing.T) {
	want := []int{1, 2, 3, 4, 5, 6, 7, 8, 10, 12, 14, 16, 20, 24, 28, 32, 40, 48, 56, 64, 80, 96, 112, 128, 160, 192, 224, 256, 320, 384, 448, 512}
	for i, w := range want {
		if got := swprefix.Depth(i); got != w {
			t.Errorf("depth %d is %d, want %d", i, got, w)
		}
	}
}

// TestSampleShared counts the hashes that two prompts with a common prefix share,
// whether or not their lengths are equal.
func TestSampleShared(t *testing.T) {
	block := strings.Repeat("x", 256)
	tests := []struct {
		name                  string
		shared, first, second int // blocks
		want                  int // hashes
	}{
		{"same length", 20, 40, 40, 13},
		{"other length", 20, 40, 300, 13},
		{"one contains the other", 64, 64, 500, 20},
		{"nothing shared", 0, 10, 10, 0},
		{"shorter than a block", 0, 0, 10, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			common := strings.Repeat(block, tt.shared)
			a := Sample(BlockHashes(common + strings.Repeat("a", 256*(tt.first-tt.shared))))
			b := Sample(BlockHashes(common + strings.Repeat("b", 256*(tt.second-tt.shared))))
			shared := 0
			for shared < min(len(a), len(b)) && a[shared] == b[shared] {
				shared++
			}
			if shared != tt.want {
				t.Errorf("%d hashes shared, want %d", shared, tt.want)
			}
		})
	}
}
