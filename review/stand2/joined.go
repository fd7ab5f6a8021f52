package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	joinedStreams  = 1500
	joinedPerS     = 50 // streams of all clients
	joinedEvents   = 5
	joinedLine     = 4096 // longest line of an event in bytes, without its end
	joinedRunners  = 4
	brokenRunners  = 2    // share of the runners that break off: 0.5
	brokenAnswers  = 0.05 // share of their answers
	joinedDeadline = 10 * time.Second
)

// joinedEvent returns the lines of an event of a stream: its number, its text in data
// lines of at most joinedLine bytes, and the empty line that ends it.
func joinedEvent(id string, number int) []string {
	text := fmt.Sprintf("%s/%d ", id, number)
	text += strings.Repeat(string(rune('a'+number)), 9000-len(text))
	lines := []string{fmt.Sprintf("id: %d\n", number)}
	for len(text) > 0 {
		n := min(len(text), joinedLine-len("data: "))
		lines = append(lines, "data: "+text[:n]+"\n")
		text = text[n:]
	}
	return append(lines, "\n")
}

func joinedBody(id string) string {
	var b strings.Builder
	for i := range joinedEvents {
		b.WriteString(strings.Join(joinedEvent(id, i+1), ""))
	}
	return b.String()
}

// joinedPieces checks streams whose runners break off answers between two lines of an
// event, which the program continues at another runner.
func joinedPieces(recordPath string, trouble bool) (int, error) {
	rec, err := newRecord(recordPath)
	if err != nil {
		return notRun, err
	}
	temporary, err := os.MkdirTemp("", "review-6-")
	if err != nil {
		return notRun, err
	}
	defer func() { _ = os.RemoveAll(temporary) }()
	s, err := newStore()
	if err != nil {
		return notRun, err
	}
	defer s.close()
	s.putJSON("keyed.op", "config", configuration(7))
	for i := range joinedRunners {
		r, err := newRunner(s, fmt.Sprintf("i-%d", i), "llm", fmt.Sprintf("zone-%c", 'a'+i%3))
		if err != nil {
			return notRun, err
		}
		breaks := trouble && i < brokenRunners
		r.answer = func(r *runner, conn net.Conn, q *http.Request, _ []byte) bool {
			return streamJoined(rec, r, conn, q, breaks)
		}
	}
	fronts, err := startFronts(temporary, s.address, "127.0.0.11", "127.0.0.12")
	defer func() {
		for _, f := range fronts {
			f.stop()
		}
	}()
	if err != nil {
		return notRun, err
	}
	var wrong, whole, cut atomic.Int64
	var clients sync.WaitGroup
	for i := range joinedStreams {
		time.Sleep(time.Second / joinedPerS)
		clients.Go(func() {
			id := fmt.Sprintf("%016x", 0x6000000+i)
			c := call{method: http.MethodPost, path: "/ask/2f", id: id, tokens: "1460,800", body: "question", deadline: joinedDeadline}
			rec.printf("client sends %s to %s", id, fronts[i%len(fronts)].name)
			r := send(fronts[i%len(fronts)].listen, c)
			want := joinedBody(id)
			verdict := "whole and right"
			switch {
			case r.status != http.StatusOK:
				verdict = "no success"
			case r.err != nil && strings.HasPrefix(want, r.body):
				cut.Add(1)
				verdict = "cut, and right up to there"
			case r.err == nil && r.body == want:
				whole.Add(1)
			default:
				wrong.Add(1)
				verdict = "WRONG " + difference(want, r.body)
			}
			rec.printf("client got %s: status %d, complete %t, %d of %d bytes, signature %q: %s", id, r.status, r.err == nil, len(r.body), len(want), r.header.Get("X-Runner-Signature"), verdict)
		})
	}
	clients.Wait()
	rec.printf("%d streams: %d whole and right, %d cut and right up to there, %d wrong", joinedStreams, whole.Load(), cut.Load(), wrong.Load())
	fmt.Printf("%d streams: %d whole and right, %d cut and right up to there, %d wrong\n", joinedStreams, whole.Load(), cut.Load(), wrong.Load())
	switch {
	case wrong.Load() > 0:
		return broken, nil
	case whole.Load() < joinedStreams*9/10:
		return notRun, fmt.Errorf("only %d of %d streams were served", whole.Load(), joinedStreams)
	}
	return held, nil
}

// difference describes where a body differs from the one that the runner made.
func difference(want, got string) string {
	i := 0
	for i < len(want) && i < len(got) && want[i] == got[i] {
		i++
	}
	part := func(text string) string { return text[max(0, i-8):min(len(text), i+24)] }
	return fmt.Sprintf("at byte %d: the runner's %q, the client's %q", i, part(want), part(got))
}

// streamJoined answers with the events after the client's last one. With breaks it closes
// the connection in a share of its answers after a line of an event, before the next one.
func streamJoined(rec *record, r *runner, conn net.Conn, q *http.Request, breaks bool) bool {
	id := q.Header.Get("X-Request-Id")
	after, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	breakEvent, breakLine := 0, 0
	if breaks && rand.Float64() < brokenAnswers {
		breakEvent, breakLine = 2+rand.IntN(joinedEvents-1), 1+rand.IntN(len(joinedEvent(id, 1))-1)
	}
	rec.printf("%s runs %s after event %d", r.id, id, after)
	write(conn, r.streamHead(id))
	for number := after + 1; number <= joinedEvents; number++ {
		for line, text := range joinedEvent(id, number) {
			if number == breakEvent && line == breakLine {
				time.Sleep(20 * time.Millisecond)
				rec.printf("%s breaks off %s within event %d, after line %d of it", r.id, id, number, line)
				return false
			}
			if !write(conn, chunk(text)) {
				return false
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
	rec.printf("%s ends %s", r.id, id)
	return write(conn, "0\r\n\r\n")
}
