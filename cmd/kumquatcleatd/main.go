// Command kumquatcleatd is the daemon that runs on each entry VM.
package main

import (
	"os"

	"kumquatcleat/internal/daemon"
)

func main() { os.Exit(daemon.Main(os.Args[1:], os.Stdout, os.Stderr)) }
