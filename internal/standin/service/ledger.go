package service

import (
	"slices"
	"sync"
)

// Run is the number of runs of an operation with one reference.
type Run struct {
	Operation string
	Reference string
	Count     int
}

// ledger holds the runs, the stock and the drafts. It is safe for concurrent use.
type ledger struct {
	mu     sync.Mutex
	runs   []Run
	index  map[Run]int // position in runs by operation and reference
	stock  map[string]int64
	drafts map[string]string
}

func newLedger() *ledger {
	return &ledger{index: map[Run]int{}, stock: map[string]int64{}, drafts: map[string]string{}}
}

// recordRun counts a run and returns the number of runs of the operation with this
// reference.
func (l *ledger) recordRun(operation, reference string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := Run{Operation: operation, Reference: reference}
	i, known := l.index[key]
	if !known {
		i = len(l.runs)
		l.index[key] = i
		l.runs = append(l.runs, key)
	}
	l.runs[i].Count++
	return l.runs[i].Count
}

func (l *ledger) listRuns() []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.runs)
}

func (l *ledger) clearRuns() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = nil
	clear(l.index)
}

// takeStock removes count of an item and returns the remaining stock. It removes
// nothing if the stock is too low.
func (l *ledger) takeStock(item string, count int64) (left int64, enough bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	left = l.stockLocked(item)
	if left < count {
		return left, false
	}
	l.stock[item] = left - count
	return left - count, true
}

func (l *ledger) stockOf(item string) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stockLocked(item)
}

// stockLocked returns the stock of an item. The caller holds the lock.
func (l *ledger) stockLocked(item string) int64 {
	if count, known := l.stock[item]; known {
		return count
	}
	return DefaultStock
}

func (l *ledger) draft(name string) (text string, found bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	text, found = l.drafts[name]
	return text, found
}

func (l *ledger) saveDraft(name, text string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drafts[name] = text
}
