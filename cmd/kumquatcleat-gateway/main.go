// Command kumquatcleat-gateway is the daemon that runs on each entry VM of the users'
// platform. It is the gateway with the adapter from package platform.
package main

import (
	"os"

	"kumquatcleat/internal/gateway"
	"kumquatcleat/platform"
)

func main() {
	os.Exit(gateway.Main(os.Args[1:], platform.SettingsPath(), platform.NewAdapter, os.Stdout, os.Stderr))
}
