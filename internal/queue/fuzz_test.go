package queue_test

import (
	"errors"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/queue"
)

const (
	fuzzMemory  = int64(200_000)
	fuzzStretch = 8
)

// queueMachine drives a queue and a serial engine of 10 tokens/ms.
type queueMachine struct {
	queue   *queue.Queue
	now     oleanderspool.Millis
	serial  int
	waiting map[string]queue.Item
	running []queue.Item // prefill in order of priority and hand-over
	decode  []queue.Item
	ended   map[string]bool
	used    int64
	alone   string
}

func newQueueMachine() *queueMachine {
	return &queueMachine{
		queue: queue.New(
			queue.WithPrefillDelayFactor(fuzzStretch), queue.WithCapacity(60), queue.WithMemory(fuzzMemory),
			queue.WithPrefillRate(10), queue.WithReferenceRate(10), queue.WithInterTokenLatency(10),
		),
		waiting: map[string]queue.Item{},
		ended:   map[string]bool{},
	}
}

func (m *queueMachine) pushSome(t *rapid.T) {
	for range rapid.IntRange(1, 8).Draw(t, "items") {
		m.push(t)
	}
}

func (m *queueMachine) push(t *rapid.T) {
	m.serial++
	i := queue.Item{
		Attempt:      oleanderspool.AttemptID(fmt.Sprint(m.serial)),
		Account:      oleanderspool.ClientAccountID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "account")),
		Priority:     rapid.IntRange(0, 2).Draw(t, "priority"),
		PromptTokens: rapid.SampledFrom([]int64{0, 1, 900, 3000, 20_000, 90_000, 90_000}).Draw(t, "tokens"),
		OutputTokens: rapid.Int64Range(0, 100).Draw(t, "output"),
		Exclusive:    rapid.IntRange(0, 9).Draw(t, "alone") == 0,
	}
	i.MemoryTokens = i.PromptTokens + i.OutputTokens
	if rapid.IntRange(0, 3).Draw(t, "limited") == 0 {
		i.Deadline = m.now + oleanderspool.Millis(rapid.IntRange(1, 100_000).Draw(t, "limit"))
	}
	err := m.queue.Push(i, m.now)
	var full *queue.FullError
	var refusal *oleanderspool.Refusal
	switch {
	case err == nil:
		m.waiting[string(i.Attempt)] = i
	case errors.As(err, &full):
		if full.RetryAfter <= 0 {
			t.Fatal("queue full without a span")
		}
	case errors.As(err, &refusal):
		if i.Deadline == 0 || refusal.Execution != oleanderspool.NotRun {
			t.Fatalf("%+v refused: %v", i, err)
		}
	default:
		t.Fatal(err)
	}
}

func (m *queueMachine) next(t *rapid.T) {
	d := m.queue.Next(fuzzMemory-m.used, m.now)
	for _, x := range d.Refused {
		m.leave(t, string(x.Attempt))
		if x.Deadline == 0 || x.Refusal.RetryAfter <= 0 {
			t.Fatalf("%+v", x)
		}
	}
	for _, x := range d.Start {
		m.leave(t, string(x.Attempt))
		m.start(t, x)
	}
	if len(m.running)+len(m.decode) == 0 && len(m.waiting) > 0 {
		t.Fatalf("the engine idles while %d items wait", len(m.waiting))
	}
}

// leave checks that each item leaves the queue once.
func (m *queueMachine) leave(t *rapid.T, name string) {
	if _, ok := m.waiting[name]; !ok {
		t.Fatalf("%q left the queue but did not wait", name)
	}
	delete(m.waiting, name)
}

func (m *queueMachine) start(t *rapid.T, x queue.Dispatch) {
	if m.alone != "" || (x.Exclusive && len(m.running)+len(m.decode) > 0) {
		t.Fatalf("%q started next to other work, alone %q", x.Attempt, m.alone)
	}
	if x.Deadline != 0 && m.now > x.Deadline {
		t.Fatalf("%q started after its limit", x.Attempt)
	}
	if x.Exclusive {
		m.alone = string(x.Attempt)
	}
	if m.used += x.MemoryTokens; m.used > fuzzMemory {
		t.Fatalf("%d tokens of memory in use", m.used)
	}
	m.running = append(m.running, x.Item)
	slices.SortStableFunc(m.running, func(a, b queue.Item) int { return int(a.PromptTokens - b.PromptTokens) })
}

// serve ends the prefill of the first item in the engine, or a decode.
func (m *queueMachine) serve(t *rapid.T) {
	if len(m.running) > 0 {
		x := m.running[0]
		m.running = m.running[1:]
		m.now += oleanderspool.Millis(x.PromptTokens/10) + 1
		m.queue.FirstToken(x.Attempt, m.now)
		m.decode = append(m.decode, x)
	}
	m.finishDecode(t)
	m.next(t)
}

func (m *queueMachine) finishDecode(t *rapid.T) {
	if len(m.decode) == 0 || (len(m.running) > 0 && rapid.Bool().Draw(t, "decodes on")) {
		return
	}
	x := m.decode[0]
	m.decode = m.decode[1:]
	m.now += oleanderspool.Millis(x.OutputTokens)
	m.used -= x.MemoryTokens
	m.queue.Finished(x.Attempt, m.now)
	if m.alone == string(x.Attempt) {
		m.alone = ""
	}
	if m.ended[string(x.Attempt)] {
		t.Fatalf("%q was served twice", x.Attempt)
	}
	m.ended[string(x.Attempt)] = true
}

func (m *queueMachine) cancel(t *rapid.T) {
	names := make([]string, 0, len(m.waiting))
	for name := range m.waiting {
		names = append(names, name)
	}
	if len(names) == 0 {
		return
	}
	slices.Sort(names)
	name := rapid.SampledFrom(names).Draw(t, "cancelled")
	if !m.queue.Cancel(oleanderspool.AttemptID(name)) {
		t.Fatalf("%q waits but cannot be cancelled", name)
	}
	delete(m.waiting, name)
}

func (m *queueMachine) engineLost(*rapid.T) {
	m.running, m.decode, m.used, m.alone = nil, nil, 0, ""
	m.queue.EngineLost(m.now)
}

func (m *queueMachine) check(t *rapid.T) {
	l := m.queue.Load(m.now)
	tokens := int64(0)
	for _, i := range m.waiting {
		tokens += i.PromptTokens
	}
	if l.Queued != len(m.waiting) || l.QueuedTokens != tokens || l.Running != len(m.running)+len(m.decode) {
		t.Fatalf("%+v but %d wait with %d tokens and %d run", l, len(m.waiting), tokens, len(m.running)+len(m.decode))
	}
}

// Guards against items that are lost, served twice, started beyond the
// memory, beside a trial or after their limit, and against an idle engine.
func TestFuzzQueue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newQueueMachine()
		t.Repeat(map[string]func(*rapid.T){
			"push":        m.pushSome,
			"next":        m.next,
			"serve":       m.serve,
			"cancel":      m.cancel,
			"engine lost": m.engineLost,
			"time": func(t *rapid.T) {
				m.now += oleanderspool.Millis(rapid.IntRange(0, 60_000).Draw(t, "span"))
			},
			"": m.check,
		})
		for i := 0; len(m.waiting)+len(m.running)+len(m.decode) > 0; i++ {
			m.next(t)
			m.serve(t)
			if i > 1000 {
				t.Fatalf("%d items are not served", len(m.waiting))
			}
		}
		m.check(t)
		for i := range 30 {
			if err := m.queue.Push(item(fmt.Sprint("again", i), 1), m.now); err != nil {
				t.Fatalf("places are not given back: %v", err)
			}
		}
	})
}

// Guards against starvation: a long item whose ageing bound has passed is
// served at its share, however much shorter work of other accounts arrives.
func TestFuzzAgeing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tokens := rapid.Int64Range(5000, 100_000).Draw(t, "tokens")
		share := rapid.SampledFrom([]float64{0.2, 0.5}).Draw(t, "share")
		q := queue.New(queue.WithPrefillDelayFactor(fuzzStretch), queue.WithLongShare(share), queue.WithPrefillRate(10), queue.WithStepTokens(500))
		long := item("long", tokens)
		if err := q.Push(long, 0); err != nil {
			t.Fatal(err)
		}
		work := float64(tokens) / 10
		due, bound := oleanderspool.Millis(fuzzStretch*work), oleanderspool.Hour
		e := serialEngine{queue: q}
		for n := 0; e.now <= bound; n++ {
			if bound == oleanderspool.Hour && e.now > due {
				// From its due instant on the item waits for the work that arrived
				// before, for the credit of 500 ms, which is refilled while it is
				// used, and for its own work at its share.
				earlier := oleanderspool.Millis(q.Load(e.now).QueuedTokens / 10)
				bound = e.now + earlier + oleanderspool.Millis((500+work*1.1)/share) + 500
			}
			short := item(fmt.Sprint("short", n), rapid.Int64Range(100, 1000).Draw(t, "short"))
			short.Account = oleanderspool.ClientAccountID(fmt.Sprint("account", n%50))
			_ = q.Push(short, e.now)
			if e.run(short.PromptTokens / 12); e.served["long"] {
				return
			}
		}
		t.Fatalf("not served after %d ms", e.now)
	})
}

// serialEngine serves prefill by priority at 10 tokens/ms, in steps of 5 ms.
type serialEngine struct {
	queue   *queue.Queue
	now     oleanderspool.Millis
	running []queue.Dispatch
	left    map[oleanderspool.AttemptID]int64
	served  map[string]bool
}

func (e *serialEngine) run(span int64) {
	if e.left == nil {
		e.left, e.served = map[oleanderspool.AttemptID]int64{}, map[string]bool{}
	}
	for ; span > 0; span -= 5 {
		for _, x := range e.queue.Next(room, e.now).Start {
			e.running = append(e.running, x)
			e.left[x.Attempt] = x.PromptTokens
		}
		slices.SortStableFunc(e.running, func(a, b queue.Dispatch) int { return b.EnginePriority - a.EnginePriority })
		e.now += 5
		for budget := int64(50); budget > 0 && len(e.running) > 0; {
			x := e.running[0].Attempt
			done := min(budget, e.left[x])
			e.left[x] -= done
			budget -= done
			if e.left[x] > 0 {
				continue
			}
			e.running = e.running[1:]
			e.served[string(x)] = true
			e.queue.FirstToken(x, e.now)
			e.queue.Finished(x, e.now)
		}
	}
}
