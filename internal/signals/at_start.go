package signals

// A SIGHUP that arrives before Install would end the process, while the settings are read
// after Install in any case. at_start.c ignores it from the time when the program is loaded.

// #include <signal.h>
import "C"

// reloadSignal is SIGHUP as the C library names it. Its use makes this package a cgo package,
// so that at_start.c is linked in.
const reloadSignal = C.SIGHUP
