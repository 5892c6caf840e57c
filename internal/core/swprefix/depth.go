package swprefix

// MaxHashes is the maximum number of prefix hashes of one request. The deepest
// covers 512 blocks, or 32,768 tokens.
const MaxHashes = 32

const (
	// denseHashes is the number of first blocks that have a hash each.
	denseHashes = 8
	// hashesPerOctave is the number of hashes between a depth and twice that depth.
	hashesPerOctave = 4
)

// Depth returns the number of blocks that the i-th hash of a request covers: every
// number up to 8, then 10, 12, 14, 16, 20, 24, 28, 32, 40 and so on. The depths do
// not depend on the length of the prompt. In a shared prefix of at most 512 blocks,
// at most a fifth of the blocks lie beyond the greatest depth within the prefix.
func Depth(i int) int {
	if i < denseHashes {
		return i + 1
	}
	octave, step := (i-denseHashes)/hashesPerOctave, (i-denseHashes)%hashesPerOctave+1
	return (denseHashes + step*denseHashes/hashesPerOctave) << octave
}
