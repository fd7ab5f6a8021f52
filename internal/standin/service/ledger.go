package service

import (
	"slices"
	"sync"
)

// Run counts the runs of an operation with one reference.
type Run struct {
	Operation string
	Reference string
	Count     int
}

// ledger records what ran, the stock and the drafts.
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

// record counts a run and returns how often it has run with this reference.
func (l *ledger) record(operation, reference string) int {
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

func (l *ledger) list() []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.runs)
}

func (l *ledger) forget() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = nil
	clear(l.index)
}

// take removes count of an item and returns what is left. It removes nothing
// when there is not enough.
func (l *ledger) take(item string, count int64) (left int64, enough bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	left = l.left(item)
	if left < count {
		return left, false
	}
	l.stock[item] = left - count
	return left - count, true
}

func (l *ledger) count(item string) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.left(item)
}

// left returns the stock of an item. The caller holds the lock.
func (l *ledger) left(item string) int64 {
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

func (l *ledger) save(name, text string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drafts[name] = text
}
