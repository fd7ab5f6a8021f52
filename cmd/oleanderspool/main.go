// Command oleanderspool is a serving layer for prompts of very unlike lengths
// on a few shared model backend servers.
package main

import (
	"os"

	"github.com/oleanderspool/oleanderspool/internal/command"
)

func main() {
	os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr))
}
