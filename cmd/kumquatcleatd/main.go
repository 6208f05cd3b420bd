// Command kumquatcleatd is the router daemon of an entry VM on a platform with the HTTP
// interface that package internal/platform calls.
package main

import (
	"os"

	"kumquatcleat/internal/daemon"
)

func main() { os.Exit(daemon.Main(os.Args[1:], os.Stdout, os.Stderr)) }
