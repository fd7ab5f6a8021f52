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
	fuzzMemory      = int64(200_000)
	fuzzDelayFactor = 8
)

// queueMachine drives a queue and an engine that serves one prefill at a time at
// 10 tokens/ms.
type queueMachine struct {
	queue     *queue.Queue
	now       oleanderspool.Millis
	serial    int
	waiting   map[string]queue.Item
	running   []queue.Item // in prefill, in order of priority and then dispatch
	decode    []queue.Item
	ended     map[string]bool
	used      int64 // engine memory in tokens
	exclusive string
}

func newQueueMachine() *queueMachine {
	return &queueMachine{
		queue: queue.New(
			queue.WithPrefillDelayFactor(fuzzDelayFactor), queue.WithCapacity(60), queue.WithMemory(fuzzMemory),
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
		Exclusive:    rapid.IntRange(0, 9).Draw(t, "exclusive") == 0,
	}
	i.MemoryTokens = i.PromptTokens + i.OutputTokens
	if rapid.IntRange(0, 3).Draw(t, "has deadline") == 0 {
		i.Deadline = m.now + oleanderspool.Millis(rapid.IntRange(1, 100_000).Draw(t, "deadline"))
	}
	err := m.queue.Push(i, m.now)
	var full *queue.FullError
	var refusal *oleanderspool.Refusal
	switch {
	case err == nil:
		m.waiting[string(i.Attempt)] = i
	case errors.As(err, &full):
		if full.RetryAfter <= 0 {
			t.Fatal("queue full without a time to retry after")
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
	for _, x := range d.Dispatches {
		m.leave(t, string(x.Attempt))
		m.dispatch(t, x)
	}
	if len(m.running)+len(m.decode) == 0 && len(m.waiting) > 0 {
		t.Fatalf("the engine is idle while %d items wait", len(m.waiting))
	}
}

// leave checks that each item leaves the queue only once.
func (m *queueMachine) leave(t *rapid.T, name string) {
	if _, ok := m.waiting[name]; !ok {
		t.Fatalf("%q left the queue but was not waiting", name)
	}
	delete(m.waiting, name)
}

func (m *queueMachine) dispatch(t *rapid.T, x queue.Dispatch) {
	if m.exclusive != "" || (x.Exclusive && len(m.running)+len(m.decode) > 0) {
		t.Fatalf("%q was dispatched beside other work, exclusive item %q", x.Attempt, m.exclusive)
	}
	if x.Deadline != 0 && m.now > x.Deadline {
		t.Fatalf("%q was dispatched after its deadline", x.Attempt)
	}
	if x.Exclusive {
		m.exclusive = string(x.Attempt)
	}
	if m.used += x.MemoryTokens; m.used > fuzzMemory {
		t.Fatalf("%d tokens of memory in use", m.used)
	}
	m.running = append(m.running, x.Item)
	slices.SortStableFunc(m.running, func(a, b queue.Item) int { return int(a.PromptTokens - b.PromptTokens) })
}

// serve ends the prefill of the first item in the engine, and possibly a decode.
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
	if m.exclusive == string(x.Attempt) {
		m.exclusive = ""
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
		t.Fatalf("%q is waiting but cannot be cancelled", name)
	}
	delete(m.waiting, name)
}

func (m *queueMachine) engineLost(*rapid.T) {
	m.running, m.decode, m.used, m.exclusive = nil, nil, 0, ""
	m.queue.EngineLost(m.now)
}

func (m *queueMachine) check(t *rapid.T) {
	l := m.queue.Load(m.now)
	tokens := int64(0)
	for _, i := range m.waiting {
		tokens += i.PromptTokens
	}
	if l.Queued != len(m.waiting) || l.QueuedTokens != tokens || l.Running != len(m.running)+len(m.decode) {
		t.Fatalf("load is %+v, want %d waiting with %d tokens and %d running", l, len(m.waiting), tokens, len(m.running)+len(m.decode))
	}
}

// Guards against items that are lost, served twice, or dispatched without
// enough memory, beside an exclusive item or after their deadline, and against an
// engine that is idle while items wait.
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
				m.now += oleanderspool.Millis(rapid.IntRange(0, 60_000).Draw(t, "duration"))
			},
			"": m.check,
		})
		for i := 0; len(m.waiting)+len(m.running)+len(m.decode) > 0; i++ {
			m.next(t)
			m.serve(t)
			if i > 1000 {
				t.Fatalf("%d items are still waiting after 1000 rounds", len(m.waiting))
			}
		}
		m.check(t)
		for i := range 30 {
			if err := m.queue.Push(item(fmt.Sprint("again", i), 1), m.now); err != nil {
				t.Fatalf("an empty queue refuses an item: %v", err)
			}
		}
	})
}

// Guards against starvation: once its due time has passed, a long item is served
// at the share of long work, however much shorter work of other accounts arrives.
func TestFuzzAgeing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tokens := rapid.Int64Range(5000, 100_000).Draw(t, "tokens")
		share := rapid.SampledFrom([]float64{0.2, 0.5}).Draw(t, "share")
		q := queue.New(queue.WithPrefillDelayFactor(fuzzDelayFactor), queue.WithLongShare(share), queue.WithPrefillRate(10), queue.WithStepTokens(500))
		long := item("long", tokens)
		if err := q.Push(long, 0); err != nil {
			t.Fatal(err)
		}
		work := float64(tokens) / 10
		due, bound := oleanderspool.Millis(fuzzDelayFactor*work), oleanderspool.Hour
		e := serialEngine{queue: q}
		for n := 0; e.now <= bound; n++ {
			if bound == oleanderspool.Hour && e.now > due {
				// After its due time the item waits for the work that arrived
				// before, for the credit of 500 ms, which is refilled while it is
				// used, and for its own prefill at the share of long work.
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
		t.Fatalf("the long item is not served after %d ms", e.now)
	})
}

// serialEngine prefills in order of priority at 10 tokens/ms, in steps of 5 ms.
type serialEngine struct {
	queue   *queue.Queue
	now     oleanderspool.Millis
	running []queue.Dispatch
	left    map[oleanderspool.AttemptID]int64
	served  map[string]bool
}

func (e *serialEngine) run(duration int64) {
	if e.left == nil {
		e.left, e.served = map[oleanderspool.AttemptID]int64{}, map[string]bool{}
	}
	for ; duration > 0; duration -= 5 {
		for _, x := range e.queue.Next(ampleMemory, e.now).Dispatches {
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
