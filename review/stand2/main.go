// Command stand2 plays the scripts of the second review: it starts the program as the
// deploy file says, with stand-ins for the platform's store, the runners and the clients.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// The exit codes of a case.
const (
	held   = 0
	broken = 1
	notRun = 2
)

// cases are the scripts by the names of their folders.
var cases = map[string]func(recordPath string, trouble bool) (int, error){
	"6": joinedPieces,
	"7": removedWhileCut,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE RECORD")
		os.Exit(notRun)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		<-signals
		killStarted()
		os.Exit(notRun)
	}()
	code, err := cases[os.Args[1]](os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = notRun
	}
	os.Exit(code)
}
