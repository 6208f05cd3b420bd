// Command kumquatcleat is the operators' program.
package main

import (
	"os"

	"kumquatcleat/internal/cli"
)

func main() { os.Exit(cli.Execute()) }
