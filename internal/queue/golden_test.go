package queue_test

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/golden"
	"github.com/oleanderspool/oleanderspool/internal/queue"
)

// replaySession replays a session file and returns it with the queue's decisions
// after each line. A line is a time, an event and its arguments: "push attempt
// account priority tokens output timeout exclusive", "next free", "cancel
// attempt", "first attempt", "finished attempt" or "lost".
func replaySession(q *queue.Queue, session string) string {
	var b strings.Builder
	lines := bufio.NewScanner(strings.NewReader(session))
	for lines.Scan() {
		line := lines.Text()
		fmt.Fprintln(&b, line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		var now oleanderspool.Millis
		var event string
		_, err := fmt.Sscan(line, &now, &event)
		Expect(err).NotTo(HaveOccurred(), line)
		arguments := strings.Join(strings.Fields(line)[2:], " ")
		attempt := oleanderspool.AttemptID(arguments)
		switch event {
		case "push":
			pushLine(&b, q, arguments, now)
		case "next":
			nextLine(&b, q, arguments, now)
		case "cancel":
			fmt.Fprintln(&b, "  was waiting:", q.Cancel(attempt))
		case "first":
			q.FirstToken(attempt, now)
		case "finished":
			q.Finished(attempt, now)
		case "lost":
			q.EngineLost(now)
		default:
			Fail("unknown event: " + line)
		}
		l := q.Load(now)
		fmt.Fprintf(&b, "  queued %d (%d tokens), running %d (%d tokens), %.1f tokens/ms, slow %v\n",
			l.Queued, l.QueuedTokens, l.Running, l.RunningTokens, l.PrefillRate, q.Slow(now))
	}
	return b.String()
}

func pushLine(b *strings.Builder, q *queue.Queue, arguments string, now oleanderspool.Millis) {
	var i queue.Item
	var timeout oleanderspool.Millis
	_, err := fmt.Sscan(arguments, &i.Attempt, &i.Account, &i.Priority, &i.PromptTokens, &i.OutputTokens, &timeout, &i.Exclusive)
	Expect(err).NotTo(HaveOccurred(), arguments)
	i.MemoryTokens = i.PromptTokens + i.OutputTokens
	if timeout > 0 {
		i.Deadline = now + timeout
	}
	if err := q.Push(i, now); err != nil {
		fmt.Fprintf(b, "  %T %v\n", err, err)
	}
}

func nextLine(b *strings.Builder, q *queue.Queue, arguments string, now oleanderspool.Millis) {
	var free int64
	_, err := fmt.Sscan(arguments, &free)
	Expect(err).NotTo(HaveOccurred(), arguments)
	d := q.Next(free, now)
	for _, s := range d.Dispatches {
		fmt.Fprintf(b, "  start %s, engine priority %d, waited %d\n", s.Attempt, s.EnginePriority, s.Waited)
	}
	for _, r := range d.Refused {
		fmt.Fprintf(b, "  refused %s: %v, retry after %d\n", r.Attempt, r.Refusal, r.Refusal.RetryAfter)
	}
}

// Guards against unintended changes of the decisions over whole sessions.
var _ = Describe("Golden sessions of the queue", func() {
	files, err := filepath.Glob("testdata/*.session")
	if err != nil || len(files) == 0 {
		panic("no sessions")
	}
	for _, file := range files {
		It("replays "+filepath.Base(file), func() {
			session, err := os.ReadFile(filepath.Clean(file))
			Expect(err).NotTo(HaveOccurred())
			got := replaySession(queue.New(queue.WithMemory(200_000), queue.WithCapacity(8)), string(session))
			golden.Match(strings.TrimSuffix(file, ".session")+".golden", got)
		})
	}
})
