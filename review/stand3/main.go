// Command stand3 plays the cases 11 to 15 of the review: it starts entries of the
// project as separate processes and stand-ins for the store, runners and clients in its
// own process, all on loopback addresses.
package main

import (
	"flag"
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"
)

var (
	processes []*os.Process
	lock      sync.Mutex
	recordOut *os.File
	begin     = time.Now()
)

// started records a process that has to be ended.
func started(p *os.Process) {
	lock.Lock()
	defer lock.Unlock()
	processes = append(processes, p)
}

// note writes a line to the record.
func note(format string, args ...any) {
	lock.Lock()
	defer lock.Unlock()
	line := fmt.Sprintf("%8.3f s  ", time.Since(begin).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintln(recordOut, line)
	fmt.Println(line)
}

// The results of a case.
const (
	held     = 0
	broken   = 1
	cannotDo = 2
)

// finish ends all processes and this one.
func finish(result int) {
	lock.Lock()
	for _, p := range processes {
		_ = p.Signal(syscall.SIGCONT)
		_ = p.Kill()
	}
	lock.Unlock()
	_ = os.RemoveAll(temporary)
	os.Exit(result)
}

// fatal ends a case that cannot run.
func fatal(err error) {
	fmt.Fprintln(os.Stderr, err)
	if recordOut != nil {
		note("the case cannot run: %v", err)
	}
	finish(cannotDo)
}

var temporary string

func main() {
	name := flag.String("case", "", "number of the case")
	trouble := flag.Bool("trouble", true, "with the disruption")
	root := flag.String("root", ".", "root of the repository")
	out := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	var err error
	if recordOut, err = os.Create(*out); err != nil {
		fatal(err)
	}
	if temporary, err = os.MkdirTemp("", "stand3-"); err != nil {
		fatal(err)
	}
	play, found := cases[*name]
	if !found {
		fatal(fmt.Errorf("there is no case %q", *name))
	}
	time.AfterFunc(115*time.Second, func() { fatal(fmt.Errorf("the case took too long")) })
	finish(play(*root, *trouble))
}
