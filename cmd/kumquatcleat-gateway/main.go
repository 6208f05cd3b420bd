// Command kumquatcleat-gateway is the router daemon of an entry VM on the operators'
// platform, to which package kumquatcleat/platform adapts it.
package main

import (
	"os"

	"kumquatcleat/internal/gateway"
	"kumquatcleat/platform"
)

func main() {
	os.Exit(gateway.Main(os.Args[1:], platform.SettingsPath(), platform.NewAdapter, os.Stdout, os.Stderr))
}
