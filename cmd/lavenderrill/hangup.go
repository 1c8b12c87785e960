package main

// The default action of SIGHUP ends the process, and the platform may send the signal to
// a node right after its start. The Go runtime and the packages take milliseconds to
// initialize, so that the signal is ignored from a constructor, which runs before them,
// until the node is notified of it.

/*
#include <signal.h>
#include <string.h>

__attribute__((constructor)) static void ignore_hangup(int argc, char **argv) {
	if (argc > 1 && strcmp(argv[1], "hosted") == 0)
		signal(SIGHUP, SIG_IGN);
}
*/
import "C"
