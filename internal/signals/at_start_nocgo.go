//go:build !cgo

package signals

import "syscall"

// Without cgo, a SIGHUP that arrives before Install ends the process.
const reloadSignal = syscall.SIGHUP
