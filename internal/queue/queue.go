package queue

import (
	"container/heap"
	"math"

	"github.com/joomcode/errorx"

	"github.com/oleanderspool/oleanderspool"
)

// ErrDuplicate is the type of the error for an attempt that is already waiting
// or running.
var ErrDuplicate = errorx.NewNamespace("queue").NewType("duplicate")

// Queue is the queue in front of one engine. It is not safe for concurrent
// use.
type Queue struct {
	settings     settings
	waiting      map[oleanderspool.AttemptID]*waitingItem
	classes      [classCount]tree
	expiries     expiryHeap
	accounts     accounts
	running      running
	rate         rateEstimator
	arrivals     arrivals
	sequence     uint64
	memoryTokens int64 // engine memory that the waiting items need, in tokens

	// credit is the time for which shorter work may overtake longer work with an
	// earlier due time, in milliseconds.
	credit float64

	exclusive oleanderspool.AttemptID // attempt that has the engine to itself

	progressAt oleanderspool.Millis // time of the last observed progress of the engine
}

// New returns an empty queue.
func New(options ...Option) *Queue {
	s := defaultSettings()
	for _, o := range options {
		o(&s)
	}
	s.deriveFromWeight()
	return &Queue{
		settings: s,
		waiting:  make(map[oleanderspool.AttemptID]*waitingItem),
		accounts: newAccounts(),
		running:  newRunning(s.stepTokens),
		rate:     newRateEstimator(s.prefillRate, s.referenceRate),
		credit:   float64(s.maxCredit),
	}
}

// Push adds an item. It returns a [*oleanderspool.Refusal] when the item's
// deadline cannot be met or the engine's memory is too small for it, a
// [*FullError] when the queue has no room, and an error of type [ErrDuplicate]
// when the attempt is already waiting or running.
func (q *Queue) Push(i Item, now oleanderspool.Millis) error {
	if q.waiting[i.Attempt] != nil || q.running.items[i.Attempt] != nil {
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
	if refusal := q.checkDeadline(w, now); refusal != nil {
		return refusal
	}
	q.sequence++
	q.waiting[i.Attempt] = w
	q.memoryTokens += i.MemoryTokens
	q.classes[w.class].insert(w)
	q.accounts.add(w, now)
	q.arrivals.add(w.class, i.PromptTokens, now)
	if i.Deadline != 0 {
		heap.Push(&q.expiries, expiry{i.Deadline - q.serviceTime(i), w})
	}
	return nil
}

// newWaiting returns an item with its class and due time. When its account
// exceeds its allowance, the item is treated as longer by the excess.
func (q *Queue) newWaiting(i Item, now oleanderspool.Millis) *waitingItem {
	a := q.accounts.upsert(i, now)
	effectiveTokens := i.PromptTokens + q.excess(a, classOf(i.PromptTokens), now)
	w := &waitingItem{Item: i, class: classOf(effectiveTokens), arrivedAt: now - i.Age, sequence: q.sequence}
	delay := q.backlogDelay(a, w)
	w.due = w.arrivedAt + delay + q.prefillDelay(effectiveTokens) - oleanderspool.Millis(i.Priority)*q.settings.priorityStep
	if i.Deadline != 0 {
		w.due = min(w.due, q.latestDue(w)+delay)
	}
	return w
}

// excess returns by how many tokens the account's recent usage of a class and
// the smaller ones exceeds its allowance.
func (q *Queue) excess(a *account, class int, now oleanderspool.Millis) int64 {
	if q.settings.allowance <= 0 {
		return 0
	}
	capacity := q.rate.tokensPerMillisecond() * float64(usageTimeConstant)
	allowed := q.settings.allowance * capacity * q.accounts.fairShare(a)
	return int64(max(0, a.usage(class, now)-allowed))
}

// prefillDelay returns the delay for an item's own prefill work, including its
// account's excess, in tokens.
func (q *Queue) prefillDelay(effectiveTokens int64) oleanderspool.Millis {
	return oleanderspool.Millis(q.settings.prefillDelayFactor * float64(effectiveTokens) / q.rate.tokensPerMillisecond())
}

// backlogDelay returns the delay for the work that the account already has
// waiting.
func (q *Queue) backlogDelay(a *account, w *waitingItem) oleanderspool.Millis {
	backlog := float64(a.backlog(w.class)) / q.rate.tokensPerMillisecond()
	return oleanderspool.Millis(q.settings.backlogDelayFactor * backlog / a.weight)
}

// latestDue returns the time at which an item must become due to meet its
// deadline when it gets no more than the share of long work.
func (q *Queue) latestDue(w *waitingItem) oleanderspool.Millis {
	prefill := float64(w.PromptTokens) / q.rate.tokensPerMillisecond() / q.settings.longShare
	output := oleanderspool.Millis(w.OutputTokens) * q.settings.interTokenLatency
	return w.Deadline - output - oleanderspool.Millis(math.Ceil(prefill)) - q.settings.deadlineMargin
}

// Cancel removes an attempt from the queue. It reports whether the attempt
// was waiting; an attempt that was dispatched to the engine is not affected.
func (q *Queue) Cancel(attempt oleanderspool.AttemptID) bool {
	w := q.waiting[attempt]
	if w == nil {
		return false
	}
	q.remove(w)
	return true
}

func (q *Queue) remove(w *waitingItem) {
	delete(q.waiting, w.Attempt)
	q.memoryTokens -= w.MemoryTokens
	q.classes[w.class].remove(w)
	q.accounts.remove(w)
	q.expiries.compact(len(q.waiting), func(e expiry) bool { return q.waiting[e.item.Attempt] == e.item })
}

// FirstToken records that the engine has finished the prefill of an attempt.
func (q *Queue) FirstToken(attempt oleanderspool.AttemptID, now oleanderspool.Millis) {
	q.advance(now)
	x := q.running.firstToken(attempt, now)
	if x == nil {
		return
	}
	q.progressAt = now
	q.rate.observe(q.running.observedWork(x), now-x.dispatchedAt)
}

// Finished records that an attempt has left the engine, whatever the outcome.
func (q *Queue) Finished(attempt oleanderspool.AttemptID, now oleanderspool.Millis) {
	q.advance(now)
	if q.running.remove(attempt) == nil {
		return
	}
	q.progressAt = now
	if q.exclusive == attempt {
		q.exclusive = ""
	}
}

// EngineLost discards all attempts in the engine after it has crashed. Waiting
// items keep their places.
func (q *Queue) EngineLost(now oleanderspool.Millis) {
	q.running = newRunning(q.settings.stepTokens)
	q.running.advancedAt = now
	q.exclusive = ""
	q.progressAt = now
}

// Load reports the waiting and running work. It leaves out memory, which the
// ledger accounts for.
func (q *Queue) Load(now oleanderspool.Millis) oleanderspool.Load {
	q.advance(now)
	return oleanderspool.Load{
		QueuedTokens:  q.queuedTokens(),
		RunningTokens: q.running.outstanding(classCount - 1),
		Queued:        len(q.waiting),
		Running:       len(q.running.items),
		PrefillRate:   q.rate.tokensPerMillisecond(),
		TokensAhead:   q.aheadByClass(now),
	}
}

// aheadByClass returns the work that is served before a new prompt of each
// class of prompt lengths. Work that is treated as longer because its account
// exceeded its allowance counts in the longer class.
func (q *Queue) aheadByClass(now oleanderspool.Millis) oleanderspool.TokensAhead {
	var a oleanderspool.TokensAhead
	for i, bound := range oleanderspool.LengthClassBounds {
		a[i] = q.WorkAhead(bound, now)
	}
	return a
}

// SetMemory sets the engine's memory in tokens, as [WithMemory] does, once the
// engine has reported it. 0 means unbounded.
func (q *Queue) SetMemory(tokens int64) { q.settings.memory = tokens }

// WaitingMemory returns the engine memory that the waiting items need, in
// tokens.
func (q *Queue) WaitingMemory() int64 { return q.memoryTokens }

// WorkAhead returns the waiting and running prefill work, in tokens, that a
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
func (q *Queue) PrefillRate() float64 { return q.rate.tokensPerMillisecond() }

// Slow reports whether the engine is slow but alive: its observed prefill rate
// has fallen below the slow fraction of its reference rate, or its first
// prefill is overdue by more than the stall timeout without any progress.
func (q *Queue) Slow(now oleanderspool.Millis) bool {
	if q.rate.reference > 0 && q.rate.tokensPerMillisecond() < q.settings.slowFraction*q.rate.reference {
		return true
	}
	if len(q.running.prefill) == 0 {
		return false
	}
	x := q.running.prefill[0]
	start := max(x.dispatchedAt, q.progressAt)
	return now > start+q.rate.duration(float64(x.workToFirstToken))+q.settings.stallTimeout
}

func (q *Queue) queuedTokens() int64 {
	total := int64(0)
	for i := range q.classes {
		total += q.classes[i].sum()
	}
	return total
}

// expiry is the time after which an item can no longer meet its deadline.
type expiry struct {
	at   oleanderspool.Millis
	item *waitingItem
}

// expiryHeap orders expiries by time. The entries of items that have left the
// queue stay until their time comes or until they outnumber the others. It
// implements [heap.Interface].
type expiryHeap []expiry

func (h expiryHeap) Len() int { return len(h) }

func (h expiryHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].item.sequence < h[j].item.sequence
}

func (h expiryHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *expiryHeap) Push(x any) { *h = append(*h, x.(expiry)) }

func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	(*h)[last] = expiry{}
	*h = (*h)[:last]
	return x
}

// compactionSlack is the number of entries of departed items that are always
// tolerated, so that small heaps are never rebuilt.
const compactionSlack = 64

func (h *expiryHeap) compact(live int, valid func(expiry) bool) {
	if len(*h) <= 2*live+compactionSlack {
		return
	}
	kept := (*h)[:0]
	for _, x := range *h {
		if valid(x) {
			kept = append(kept, x)
		}
	}
	clear((*h)[len(kept):])
	*h = kept
	heap.Init(h)
}
