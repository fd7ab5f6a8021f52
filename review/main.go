// Command review plays one case of the review: it starts the program under review
// with the command of the deploy file, stands in for the platform, the runners and the
// clients, and judges by what these see. It exits with 0 if the rule held, 1 if it was
// broken and 2 if the case could not run.
package main

import (
	"bufio"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

var (
	atExit []func()
	ending sync.Mutex
)

// end runs the functions that end what was started, and exits.
func end(code int) {
	ending.Lock() // never unlocked: the first caller decides
	for i := len(atExit) - 1; i >= 0; i-- {
		atExit[i]()
	}
	os.Exit(code)
}

func cannotRun(format string, values ...any) {
	fmt.Fprintf(os.Stderr, "the case cannot run: "+format+"\n", values...)
	end(2)
}

// verdict reports the result and exits.
func verdict(broken bool, format string, values ...any) {
	text := "HELD: "
	if broken {
		text = "BROKEN: "
	}
	text += fmt.Sprintf(format, values...)
	note("%s", text)
	fmt.Println(text)
	if broken {
		end(1)
	}
	end(0)
}

func main() {
	if len(os.Args) != 3 {
		cannotRun("usage: review-standin CASE RECORD")
	}
	f, err := os.Create(os.Args[2])
	if err != nil {
		cannotRun("%v", err)
	}
	w := bufio.NewWriter(f)
	notes = w
	atExit = append(atExit, func() {
		noteMu.Lock()
		defer noteMu.Unlock()
		_ = w.Flush()
	})
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		cannotRun("it was stopped")
	}()
	time.AfterFunc(110*time.Second, func() { cannotRun("it took too long") })
	play, found := cases[os.Args[1]]
	if !found {
		cannotRun("no case %q", os.Args[1])
	}
	play(os.Getenv("TROUBLE") != "0")
}
