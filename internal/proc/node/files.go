package node

import (
	"syscall"

	"bramleysail.example/bramleysail/internal/base/conf"
)

// defaultCallerConns is the number of callers' connections if the settings name none and there are descriptors enough.
const defaultCallerConns = 4096

// maxCallerConns returns how many connections of callers a process may have open that can open a number of file descriptors (0: not
// known). Half of those are left to targets, peers, the store and the administration API.
func maxCallerConns(l conf.Limit, files uint64) int {
	switch {
	case l.MaxCallers > 0:
		return l.MaxCallers
	case files == 0 || files/2 > defaultCallerConns:
		return defaultCallerConns
	}
	return max(1, int(files/2))
}

// fileLimit returns how many file descriptors the process can open, or 0 if that isn't known.
func fileLimit() uint64 {
	var l syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l); err != nil {
		return 0
	}
	return l.Cur
}
