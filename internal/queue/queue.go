package queue

import (
	"container/heap"
	"math"

	"github.com/joomcode/errorx"

	"github.com/oleanderspool/oleanderspool"
)

// ErrDuplicate marks an attempt that is already waiting or running.
var ErrDuplicate = errorx.NewNamespace("queue").NewType("duplicate")

// Queue is the queue in front of one engine. It is not safe for concurrent
// use.
type Queue struct {
	settings settings
	items    map[oleanderspool.AttemptID]*waitingItem
	classes  [classCount]tree
	limits   limits
	accounts accounts
	running  running
	rate     rate
	arrivals arrivals
	sequence uint64
	memory   int64 // engine memory that the waiting items need, in tokens

	credit float64 // milliseconds for which shorter work may overtake due longer work

	alone oleanderspool.AttemptID // attempt that runs alone

	progressAt oleanderspool.Millis // instant of the last sign of progress
}

// New returns an empty queue.
func New(options ...Option) *Queue {
	s := defaultSettings()
	for _, o := range options {
		o(&s)
	}
	s.finish()
	return &Queue{
		settings: s,
		items:    make(map[oleanderspool.AttemptID]*waitingItem),
		accounts: newAccounts(),
		running:  newRunning(s.stepTokens),
		rate:     newRate(s.prefillRate, s.reference),
		credit:   float64(s.creditSpan),
	}
}

// Push adds an item. It returns a [*oleanderspool.Refusal] when the item's
// time limit cannot be met or the engine's memory is too small for it, a
// [*FullError] when there is no place, and an error of type [ErrDuplicate] when
// the attempt is known.
func (q *Queue) Push(i Item, now oleanderspool.Millis) error {
	if q.items[i.Attempt] != nil || q.running.items[i.Attempt] != nil {
		return ErrDuplicate.New("attempt %q is known", i.Attempt)
	}
	if q.settings.memory > 0 && i.MemoryTokens > q.settings.memory {
		return oleanderspool.Refuse(oleanderspool.RefusalPromptTooLong, "exceeds the memory of the backend server")
	}
	if err := q.checkCapacity(i); err != nil {
		return err
	}
	q.advance(now)
	w := q.newWaiting(i, now)
	if refusal := q.checkLimit(w, now); refusal != nil {
		return refusal
	}
	q.sequence++
	q.items[i.Attempt] = w
	q.memory += i.MemoryTokens
	q.classes[w.class].insert(w)
	q.accounts.add(w, now)
	q.arrivals.add(w.class, i.PromptTokens, now)
	if i.Deadline != 0 {
		heap.Push(&q.limits, limit{i.Deadline - q.service(i), w})
	}
	return nil
}

// newWaiting returns an item with its class and due instant. Beyond the
// allowance of its account, an item ranks as if it were longer by the excess.
func (q *Queue) newWaiting(i Item, now oleanderspool.Millis) *waitingItem {
	a := q.accounts.get(i, now)
	rank := i.PromptTokens + q.excess(a, classOf(i.PromptTokens), now)
	w := &waitingItem{Item: i, class: classOf(rank), arrived: now - i.Age, sequence: q.sequence}
	unfair := q.unfairness(a, w)
	w.due = w.arrived + unfair + q.stretched(rank) - oleanderspool.Millis(i.Priority)*q.settings.priorityStep
	if i.Deadline != 0 {
		w.due = min(w.due, q.lastStart(w)+unfair)
	}
	return w
}

// excess returns the account's recent use of a class and the smaller ones
// beyond its allowance, in tokens.
func (q *Queue) excess(a *account, class int, now oleanderspool.Millis) int64 {
	if q.settings.allowance <= 0 {
		return 0
	}
	capacity := q.rate.perMilli() * float64(usageMemory)
	allowed := q.settings.allowance * capacity * q.accounts.fairPart(a)
	return int64(max(0, a.usage(class, now)-allowed))
}

// stretched returns the delay for an item's rank in tokens.
func (q *Queue) stretched(rank int64) oleanderspool.Millis {
	return oleanderspool.Millis(q.settings.stretch * float64(rank) / q.rate.perMilli())
}

// unfairness returns the delay for the work that the account has waiting.
func (q *Queue) unfairness(a *account, w *waitingItem) oleanderspool.Millis {
	backlog := float64(a.backlog(w.class)) / q.rate.perMilli()
	return oleanderspool.Millis(q.settings.fairness * backlog / a.weight)
}

// lastStart returns the instant at which an item must become due to meet its
// limit when it gets no more than the share of long work.
func (q *Queue) lastStart(w *waitingItem) oleanderspool.Millis {
	prefill := float64(w.PromptTokens) / q.rate.perMilli() / q.settings.longShare
	output := oleanderspool.Millis(w.OutputTokens) * q.settings.tokenSpan
	return w.Deadline - output - oleanderspool.Millis(math.Ceil(prefill)) - q.settings.slackMargin
}

// Cancel removes an attempt from the queue. It reports whether the attempt
// was waiting; an attempt that was handed to the engine is not affected.
func (q *Queue) Cancel(attempt oleanderspool.AttemptID) bool {
	w := q.items[attempt]
	if w == nil {
		return false
	}
	q.remove(w)
	return true
}

func (q *Queue) remove(w *waitingItem) {
	delete(q.items, w.Attempt)
	q.memory -= w.MemoryTokens
	q.classes[w.class].remove(w)
	q.accounts.remove(w)
	q.limits.compact(len(q.items), func(l limit) bool { return q.items[l.item.Attempt] == l.item })
}

// FirstToken records that the engine has finished the prefill of an attempt.
func (q *Queue) FirstToken(attempt oleanderspool.AttemptID, now oleanderspool.Millis) {
	q.advance(now)
	x := q.running.firstToken(attempt, now)
	if x == nil {
		return
	}
	q.progressAt = now
	q.rate.observe(q.running.work(x), now-x.handedAt)
}

// Finished records that an attempt has left the engine, for whatever reason.
func (q *Queue) Finished(attempt oleanderspool.AttemptID, now oleanderspool.Millis) {
	q.advance(now)
	if q.running.remove(attempt) == nil {
		return
	}
	q.progressAt = now
	if q.alone == attempt {
		q.alone = ""
	}
}

// EngineLost forgets all attempts in the engine after it has crashed. Waiting
// items keep their places.
func (q *Queue) EngineLost(now oleanderspool.Millis) {
	q.running = newRunning(q.settings.stepTokens)
	q.running.advanced = now
	q.alone = ""
	q.progressAt = now
}

// Load returns the queue's account of the waiting and running work. Memory is
// left to the ledger.
func (q *Queue) Load(now oleanderspool.Millis) oleanderspool.Load {
	q.advance(now)
	return oleanderspool.Load{
		QueuedTokens:  q.queuedTokens(),
		RunningTokens: q.running.outstanding(classCount - 1),
		Queued:        len(q.items),
		Running:       len(q.running.items),
		PrefillRate:   q.rate.perMilli(),
		Ahead:         q.aheadByClass(now),
	}
}

// aheadByClass returns the work that goes before a new prompt of each class of
// lengths. Work that ranks as longer than it is counts where it ranks.
func (q *Queue) aheadByClass(now oleanderspool.Millis) oleanderspool.WorkAhead {
	var a oleanderspool.WorkAhead
	for i, bound := range oleanderspool.WorkClassBounds {
		a[i] = q.WorkAhead(bound, now)
	}
	return a
}

// SetMemory sets the engine's memory in tokens, as [WithMemory] does, once it is
// known. 0 means unbounded.
func (q *Queue) SetMemory(tokens int64) { q.settings.memory = tokens }

// WaitingMemory returns the engine memory that the waiting items need, in
// tokens.
func (q *Queue) WaitingMemory() int64 { return q.memory }

// WorkAhead returns the prefill work, in tokens, that waits or runs and that a
// prompt of the given length would wait for: the work of its class and the
// smaller ones.
func (q *Queue) WorkAhead(promptTokens int64, now oleanderspool.Millis) int64 {
	q.advance(now)
	class := classOf(promptTokens)
	total := q.running.outstanding(class)
	for i := range q.classes[:class+1] {
		total += q.classes[i].sum()
	}
	return total
}

// PrefillRate returns the observed prefill rate in tokens per millisecond.
func (q *Queue) PrefillRate() float64 { return q.rate.perMilli() }

// Slow reports whether the engine is slow but alive: its observed rate has
// fallen below the slow fraction of its reference, or it has shown no progress
// for longer than the stall bound beyond the expected end of its first item.
func (q *Queue) Slow(now oleanderspool.Millis) bool {
	if q.rate.reference > 0 && q.rate.perMilli() < q.settings.slowFraction*q.rate.reference {
		return true
	}
	if len(q.running.prefill) == 0 {
		return false
	}
	x := q.running.prefill[0]
	start := max(x.handedAt, q.progressAt)
	return now > start+q.rate.span(float64(x.served))+q.settings.stallBound
}

func (q *Queue) queuedTokens() int64 {
	total := int64(0)
	for i := range q.classes {
		total += q.classes[i].sum()
	}
	return total
}

// limit is the instant at which an item can no longer meet its time limit.
type limit struct {
	at   oleanderspool.Millis
	item *waitingItem
}

// limits orders limits by instant; items that have left stay until they are
// due or outnumber the others. It implements [heap.Interface].
type limits []limit

func (l limits) Len() int { return len(l) }

func (l limits) Less(i, j int) bool {
	if l[i].at != l[j].at {
		return l[i].at < l[j].at
	}
	return l[i].item.sequence < l[j].item.sequence
}

func (l limits) Swap(i, j int) { l[i], l[j] = l[j], l[i] }

func (l *limits) Push(x any) { *l = append(*l, x.(limit)) }

func (l *limits) Pop() any {
	last := len(*l) - 1
	x := (*l)[last]
	(*l)[last] = limit{}
	*l = (*l)[:last]
	return x
}

// limitSlack is the number of items that have left and are always tolerated.
const limitSlack = 64

func (l *limits) compact(live int, valid func(limit) bool) {
	if len(*l) <= 2*live+limitSlack {
		return
	}
	kept := (*l)[:0]
	for _, x := range *l {
		if valid(x) {
			kept = append(kept, x)
		}
	}
	clear((*l)[len(kept):])
	*l = kept
	heap.Init(l)
}
