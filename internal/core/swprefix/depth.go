package swprefix

// MaxHashes bounds the prefix hashes of one request. The deepest covers 512
// blocks, or 32,768 tokens.
const MaxHashes = 32

const (
	// dense is the number of hashes at every block.
	dense = 8
	// perOctave is the number of hashes between a depth and twice that depth.
	perOctave = 4
)

// Depth returns the number of blocks that the i-th hash of a request covers:
// every number to 8, then 10, 12, 14, 16, 20, 24, 28, 32, 40 and so on. The depths
// do not depend on the prompt's length, and the part of a shared prefix that they
// miss is at most a fifth.
func Depth(i int) int {
	if i < dense {
		return i + 1
	}
	octave, step := (i-dense)/perOctave, (i-dense)%perOctave+1
	return (dense + step*dense/perOctave) << octave
}
