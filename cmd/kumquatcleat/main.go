// Command kumquatcleat is the command-line tool for operators.
package main

import (
	"os"

	"kumquatcleat/internal/cli"
)

func main() { os.Exit(cli.Execute()) }
