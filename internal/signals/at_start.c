#include <signal.h>

/* Runs while the program is loaded, before the Go runtime starts. Install replaces it. */
static void __attribute__((constructor)) ignore_reload(void) { signal(SIGHUP, SIG_IGN); }
