package placement

import (
	"slices"

	"github.com/oleanderspool/oleanderspool"
)

// finishedPrefill is a task whose prefill has ended while others on its server waited.
type finishedPrefill struct {
	Task

	endedAt oleanderspool.Millis
}

const (
	// minFinishedPrefill is the shortest prefill in ms that is kept after its end. Shorter
	// ones delay others by less than the predictions differ from the servers.
	minFinishedPrefill = 100
	// minPrefillFraction is the part of its predicted prefill time after which a task may
	// have been prefilled. One that ends sooner was withdrawn.
	minPrefillFraction = 0.9
	// maxFinished bounds the ended prefills that are kept for a server.
	maxFinished = 16
)

// FinishPrefill records that the server of a task does not prefill it any more, before the
// task is marked, replaced or removed.
func (sc *Scheduler) FinishPrefill(id TaskID, now oleanderspool.Millis) {
	t, found := sc.tasks[id]
	if !found || t.Decoding {
		return
	}
	st, elapsed := sc.state(t.Server), float64(now-t.PlacedAt)
	first := st.firstWaiting(t)
	st.finished = slices.DeleteFunc(st.finished, func(f finishedPrefill) bool { return f.endedAt <= first })
	if now > first && t.PrefillMillis >= minFinishedPrefill && elapsed >= minPrefillFraction*t.PrefillMillis {
		if len(st.finished) == maxFinished {
			st.finished = slices.Delete(st.finished, 0, 1)
		}
		f := finishedPrefill{Task: *t, endedAt: now}
		f.PrefillMillis = min(f.PrefillMillis, elapsed)
		st.finished = append(st.finished, f)
	}
	st.changed = true
}

// firstWaiting returns the instant at which the first task whose prefill has not ended was
// placed, apart from the given one, or the largest instant if there is none.
func (st *serverState) firstWaiting(except *Task) oleanderspool.Millis {
	first := never
	for _, t := range st.tasks {
		if t != except && !t.Decoding {
			first = min(first, t.PlacedAt)
		}
	}
	return first
}

// simulation predicts the prefills of a server. It keeps its slices for reuse.
type simulation struct {
	tasks         []simulatedPrefill
	order         []int
	left, endedAt []float64
}

// simulatedPrefill is a task in a simulation.
type simulatedPrefill struct {
	*Task

	endedAt oleanderspool.Millis // never for a task whose prefill has not ended
}

// setTasks sets the tasks that wait, followed by those whose prefill has ended, and order
// to the indices of all in the order in which a server prefills them: shards first, newest
// first, then whole prompts, oldest first.
func (si *simulation) setTasks(waiting []*Task, finished []finishedPrefill) {
	si.tasks, si.order = si.tasks[:0], si.order[:0]
	for _, t := range waiting {
		si.tasks = append(si.tasks, simulatedPrefill{Task: t, endedAt: never})
	}
	for i := range finished {
		si.tasks = append(si.tasks, simulatedPrefill{Task: &finished[i].Task, endedAt: finished[i].endedAt})
	}
	for i := range si.tasks {
		si.order = append(si.order, i)
	}
	slices.SortStableFunc(si.order, func(i, j int) int { return si.tasks[i].compareOrder(si.tasks[j].Task) })
}

// compareOrder returns a negative number if a server prefills the task before another one.
func (t *Task) compareOrder(other *Task) int {
	switch {
	case t.Sharded && !other.Sharded:
		return -1
	case !t.Sharded && other.Sharded:
		return 1
	case t.Sharded:
		return -comparePlacement(t, other)
	default:
		return comparePlacement(t, other)
	}
}

// overdueFactor predicts the rest of an overdue prefill, as a fraction of the time
// for which it is overdue.
const overdueFactor = 0.3

// run returns the indices of the waiting tasks in the order in which the server prefills
// them, and the remaining prefill time of each in ms. It simulates a server that always
// runs the first task of the order among those placed so far. Where a task has ended
// sooner than in the simulation, the server had run it instead of others, which have as
// much more left. The results are valid until the next run.
func (si *simulation) run(waiting []*Task, finished []finishedPrefill, now oleanderspool.Millis) (order []int, left []float64) {
	si.setTasks(waiting, finished)
	si.left, si.endedAt = si.left[:0], si.endedAt[:0]
	for _, t := range si.tasks {
		si.left = append(si.left, t.PrefillMillis)
		si.endedAt = append(si.endedAt, 0)
	}
	end := float64(now)
	for clock := 0.0; clock < end; {
		current, next := si.step(clock, end)
		if current >= 0 {
			duration := min(next-clock, si.left[current])
			si.left[current] -= duration
			next = clock + duration
			if si.left[current] <= 0 {
				si.left[current], si.endedAt[current] = 0, next
			}
		}
		clock = next
	}
	si.finish(end)
	for i, t := range waiting {
		// A request that still waits has no first token. A helper's shard may be done all
		// the same, while that of another server is overdue.
		if si.left[i] == 0 && t.OutputTokens > 0 && t.PrefillMillis > 0 {
			si.left[i] = (end - si.endedAt[i]) * overdueFactor
		}
	}
	return slices.DeleteFunc(si.order, func(i int) bool { return i >= len(waiting) }), si.left
}

// step returns the task that the server runs at an instant, or -1 for none, and the next
// instant, up to end, at which another task may precede it.
func (si *simulation) step(clock, end float64) (current int, next float64) {
	si.finish(clock)
	current, next = -1, end
	for _, i := range si.order {
		t := si.tasks[i]
		switch placedAt := float64(t.PlacedAt); {
		case placedAt > clock:
			next = min(next, placedAt)
		case si.left[i] > 0:
			if current < 0 {
				current = i
			}
			if t.endedAt != never {
				next = min(next, float64(t.endedAt))
			}
		}
	}
	return current, next
}

// finish ends the tasks that have ended up to an instant. The time that the simulation gave
// to others instead is returned to them.
func (si *simulation) finish(clock float64) {
	for i, t := range si.tasks {
		if si.left[i] == 0 || float64(t.endedAt) > clock {
			continue
		}
		given := si.left[i]
		si.left[i] = 0
		for _, j := range si.order {
			if other := si.tasks[j]; float64(other.endedAt) > clock {
				returned := min(given, other.PrefillMillis-si.left[j])
				si.left[j] += returned
				given -= returned
			}
		}
	}
}
