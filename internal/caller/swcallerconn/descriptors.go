package swcallerconn

import "golang.org/x/sys/unix"

// Descriptors returns how many descriptors this process may have open: the number in the settings or the limit of the process,
// whichever is less. 0 stands for a number that is not known.
func Descriptors(configured int) int64 {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > 1<<31 {
		return int64(configured)
	}
	if configured == 0 {
		return int64(limit.Cur)
	}
	return min(int64(configured), int64(limit.Cur))
}
