// Command oleanderspool is a serving layer for large language models. It serves
// prompts of widely varying lengths on a few shared backend servers.
package main

import (
	"os"

	"github.com/oleanderspool/oleanderspool/internal/command"
)

func main() {
	os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr))
}
