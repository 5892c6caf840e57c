package swprefix

// MaxHashes bounds the prefix hashes of one request. The deepest covers 512
// blocks, or 32,768 tokens.
const MaxHashes = 18

// Depth returns the number of blocks that the i-th hash of a request covers:
// 1, 2, 3, 4, 6, 8, 12, 16 and so on. The depths do not depend on the prompt's
// length, and the part of a shared prefix that they miss is at most a third.
func Depth(i int) int {
	if i < 2 {
		return i + 1
	}
	power := 1 << (i / 2)
	if i%2 == 0 {
		return power + power/2
	}
	return 2 * power
}
