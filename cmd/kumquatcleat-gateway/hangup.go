package main

/*
#include <signal.h>

// Ignores SIGHUP before the Go runtime starts. Its default action would terminate a
// process that is told to reload its settings before main handles the signal. Nothing is
// lost by ignoring it: main subscribes to the signal before it reads the settings.
__attribute__((constructor)) static void ignoreHangup(void) {
	signal(SIGHUP, SIG_IGN);
}
*/
import "C"
