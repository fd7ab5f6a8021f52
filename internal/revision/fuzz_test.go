package revision

import (
	"errors"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/pkg/configuration"
)

const fuzzRetention = 100 * oleanderspool.Second

// reusedID is used by changes of several operators.
const reusedID = "reused"

// fakeLog is a stream with retention.
type fakeLog struct {
	records    []oleanderspool.Record
	appendedAt []oleanderspool.Millis
	head       oleanderspool.Offset
}

func (l *fakeLog) append(data []byte, now oleanderspool.Millis) oleanderspool.Offset {
	l.head++
	l.records = append(l.records, oleanderspool.Record{Offset: l.head, Data: data})
	l.appendedAt = append(l.appendedAt, now)
	return l.head
}

func (l *fakeLog) expire(before oleanderspool.Millis) {
	n := 0
	for n < len(l.appendedAt) && l.appendedAt[n] < before {
		n++
	}
	l.records, l.appendedAt = l.records[n:], l.appendedAt[n:]
}

func (l *fakeLog) read(from oleanderspool.Offset, limit int) []oleanderspool.Record {
	i, _ := slices.BinarySearchFunc(l.records, from, func(r oleanderspool.Record, o oleanderspool.Offset) int { return int(r.Offset - o) })
	return l.records[i:min(len(l.records), i+limit)]
}

// reader is a process that replays the stream.
type reader struct {
	state         *State
	schedule      *SnapshotSchedule
	snapshotsRead oleanderspool.Offset // offset of the last record read from the snapshot stream
	paused        bool
}

// operator publishes changes, one at a time.
type operator struct {
	publisher     *Publisher
	lateAppends   [][]byte // appends that may still take effect
	mayHaveEffect bool     // an append of this publisher took effect or still may
}

// simulation has several readers and operators on one log, and an oracle: a state
// that applies each record as soon as it is appended.
type simulation struct {
	now       oleanderspool.Millis
	log       fakeLog
	snapshots fakeLog
	oracle    *State
	printed   map[oleanderspool.Revision]string // configurations of the oracle
	accepted  map[string]oleanderspool.Offset   // by change ID
	readers   []*reader
	operators []*operator
	changes   int
	counts    map[string]int
	limits    memoryLimits
}

func newSimulation(limits memoryLimits) *simulation {
	s := &simulation{
		limits: limits, oracle: &State{limits: limits}, printed: map[oleanderspool.Revision]string{}, accepted: map[string]oleanderspool.Offset{}, counts: map[string]int{},
	}
	s.printed[0] = string(s.oracle.Configuration().Print())
	for range 4 {
		r := &reader{}
		s.restart(r)
		s.readers = append(s.readers, r)
		s.operators = append(s.operators, &operator{})
	}
	return s
}

func (s *simulation) restart(r *reader) {
	*r = reader{state: &State{limits: s.limits}, schedule: NewSnapshotSchedule(fuzzRetention, oleanderspool.InstanceID(fmt.Sprint(len(s.readers))), s.now)}
}

func (s *simulation) append(t *rapid.T, data []byte) oleanderspool.Offset {
	offset := s.log.append(data, s.now)
	d, err := s.oracle.Apply(oleanderspool.Record{Offset: offset, Data: data})
	if err != nil {
		t.Fatal(err)
	}
	s.counts[d.Verdict.String()]++
	if d.Duplicate {
		s.counts["repeated"]++
	}
	if d.Verdict == Accepted {
		if before, again := s.accepted[d.Change]; again && before != d.Offset && s.limits == (memoryLimits{}) {
			t.Fatalf("%s accepted at %d and %d", d.Change, before, d.Offset)
		}
		s.accepted[d.Change] = d.Offset
		s.printed[s.oracle.Revision()] = string(s.oracle.Configuration().Print())
	}
	return offset
}

func (s *simulation) anyOperator(t *rapid.T) *operator {
	return s.operators[rapid.IntRange(0, len(s.operators)-1).Draw(t, "operator")]
}

// poll reads up to limit records as an entry does, and restores a snapshot if
// records are missing.
func (s *simulation) poll(t *rapid.T, r *reader, limit int) {
	s.pollSnapshots(r)
	for _, record := range s.log.read(r.state.Position()+1, limit) {
		_, err := r.state.Apply(record)
		var gap *GapError
		if errors.As(err, &gap) {
			s.counts["gap"]++
			restored, _ := r.state.RestoreNewest(s.snapshots.records)
			if !restored {
				t.Fatalf("position %d: %v, and no snapshot is newer", r.state.Position(), err)
			}
			return
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	if r.schedule.Due(r.state.Position(), s.now) {
		r.schedule.RecordAttempt(s.now)
		s.snapshots.append(r.state.Snapshot().Data, s.now)
		s.counts["snapshot"]++
	}
}

func (s *simulation) pollSnapshots(r *reader) {
	for _, record := range s.snapshots.read(r.snapshotsRead+1, 1000) {
		snapshot, err := ParseSnapshot(record.Data)
		if err == nil && r.snapshotsRead == 0 {
			r.schedule.RecordExisting(snapshot.Position)
		} else if err == nil {
			r.schedule.RecordSnapshot(snapshot.Position, s.now)
		}
	}
	r.snapshotsRead = s.snapshots.head
}

// randomChange returns a random change against the configuration of a reader.
func (s *simulation) randomChange(t *rapid.T, state *State) configuration.ChangeSet {
	s.changes++
	change := configuration.ChangeSet{ID: fmt.Sprintf("c%d", s.changes)}
	if rapid.IntRange(0, 9).Draw(t, "reuse") == 0 {
		change.ID = reusedID
	}
	used := map[configuration.Ref]bool{}
	for range rapid.IntRange(1, 3).Draw(t, "objects") {
		id := fmt.Sprint("p", rapid.IntRange(0, 4).Draw(t, "id"))
		var o configuration.Object = configuration.Priority{ID: oleanderspool.PriorityID(id), Level: rapid.IntRange(0, 100).Draw(t, "level")}
		if rapid.Bool().Draw(t, "account") {
			o = configuration.ClientAccount{
				ID: oleanderspool.ClientAccountID(id), KeyHash: configuration.HashKey(id), Priority: oleanderspool.PriorityID(id), ShareOfCapacity: 1,
			}
		}
		ref := o.Ref()
		if used[ref] {
			continue
		}
		used[ref] = true
		if _, found := state.Configuration().Object(ref); found && rapid.IntRange(0, 3).Draw(t, "delete") == 0 {
			change.Deletes = append(change.Deletes, configuration.Delete{Ref: ref, Revision: state.Configuration().Revision(ref)})
			continue
		}
		change.Puts = append(change.Puts, configuration.Put{Object: o, Revision: state.Configuration().Revision(ref)})
	}
	return change
}

// stepOperator takes one step of an operator's publisher, with a random fault.
func (s *simulation) stepOperator(t *rapid.T, o *operator, r *reader) {
	if o.publisher == nil {
		p, err := NewPublisher(s.randomChange(t, r.state), s.now+fuzzRetention/4)
		if err != nil {
			t.Fatal(err)
		}
		p.ExpectInstances("0", "1", "2", "3")
		o.publisher, o.mayHaveEffect = p, false
	}
	p := o.publisher
	switch step, at := p.Next(s.now); {
	case at > s.now:
		return
	case step == StepAppend:
		s.appendWithFault(t, o)
	case step == StepRead:
		if d, found := r.state.Decision(p.change); found {
			p.Observe(d)
		}
		p.Replayed(r.state.Position(), s.log.head)
	case step == StepWait:
		for i, other := range s.readers {
			p.ReportRevision(oleanderspool.InstanceID(fmt.Sprint(i)), other.state.Revision())
		}
	case step == StepDone:
		s.checkResult(t, p, o.mayHaveEffect)
		o.publisher = nil
	}
}

func (s *simulation) appendWithFault(t *rapid.T, o *operator) {
	p := o.publisher
	fault := rapid.SampledFrom([]string{"ok", "ok", "lost answer", "late", "never", "refused", "no result"}).Draw(t, "append")
	o.mayHaveEffect = o.mayHaveEffect || fault != "never" && fault != "refused"
	switch fault {
	case "ok":
		p.Appended(s.append(t, p.Data()))
	case "lost answer":
		s.append(t, p.Data())
		p.AppendFailed(oleanderspool.ErrUncertain.New("answer lost"), s.now)
	case "late":
		o.lateAppends = append(o.lateAppends, p.Data())
		p.AppendFailed(oleanderspool.ErrUncertain.New("time limit"), s.now)
	case "never":
		p.AppendFailed(oleanderspool.ErrUncertain.New("time limit"), s.now)
	case "refused":
		p.AppendFailed(oleanderspool.ErrUnavailable.New("outage"), s.now)
	case "no result":
		s.append(t, p.Data())
	}
}

func (s *simulation) checkResult(t *rapid.T, p *Publisher, effect bool) {
	result := p.Result()
	s.counts["result "+result.Status.String()]++
	if s.limits != (memoryLimits{}) {
		return // a repeat that arrives after the small decision window is decided again
	}
	offset, accepted := s.accepted[p.change]
	switch result.Status {
	case StatusInForce, StatusAccepted:
		if !accepted || offset != result.Revision {
			t.Fatalf("%s reported as %v at %d, accepted %v at %d", p.change, result.Status, result.Revision, accepted, offset)
		}
		if result.Status == StatusAccepted && len(result.Lagging) == 0 {
			t.Fatalf("%s is not in force, but no instance lags behind", p.change)
		}
	case StatusRejected:
		if accepted && s.oracle.decisions.byChange[p.change].Digest == p.digest {
			t.Fatalf("%s reported as rejected, accepted at %d", p.change, offset)
		}
	case StatusNotAppended:
		if effect {
			t.Fatalf("%s reported as not appended, but an append took effect or still may", p.change)
		}
	case StatusPending:
		t.Fatalf("the publisher of %s is done, but its result is pending", p.change)
	}
}

// check compares every reader with the oracle.
func (s *simulation) check(t *rapid.T, before []oleanderspool.Offset) {
	for i, r := range s.readers {
		got := r.state
		if got.Position() == before[i] && before[i] > 0 {
			continue
		}
		if got.Position() < before[i] {
			t.Fatalf("the position of reader %d decreased from %d to %d", i, before[i], got.Position())
		}
		if want, known := s.printed[got.Revision()]; !known || want != string(got.Configuration().Print()) {
			t.Fatalf("reader %d at revision %d holds\n%s\nwant\n%s", i, got.Revision(), got.Configuration().Print(), want)
		}
		if got.Position() == s.oracle.Position() && string(got.Snapshot().Data) != string(s.oracle.Snapshot().Data) {
			t.Fatalf("reader %d at position %d has a different state than the oracle", i, got.Position())
		}
	}
}

// Guards against readers that disagree, lose accepted changes or decrease their
// position, and against publishers that report a wrong result, under any order of
// faults.
func TestReadersAgree(t *testing.T) {
	cases := []struct {
		name   string
		limits memoryLimits
		extra  bool // snapshots are also written outside the schedule
	}{
		{"default limits", memoryLimits{}, true},
		{"small limits", memoryLimits{decisionWindow: 12, tailRecords: 5, tailBytes: 600}, true},
		{"scheduled snapshots only", memoryLimits{}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { readersAgree(t, c.limits, c.extra) })
	}
}

func readersAgree(t *testing.T, limits memoryLimits, extra bool) {
	counts := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(limits)
		s.counts = counts
		anyReader := func(t *rapid.T) *reader { return s.readers[rapid.IntRange(0, len(s.readers)-1).Draw(t, "reader")] }
		before := make([]oleanderspool.Offset, len(s.readers))
		t.Repeat(map[string]func(*rapid.T){
			"operate": func(t *rapid.T) { s.stepOperator(t, s.anyOperator(t), anyReader(t)) },
			"operate many steps": func(t *rapid.T) {
				o, r := s.anyOperator(t), s.readers[0]
				for range rapid.IntRange(1, 12).Draw(t, "steps") {
					s.stepOperator(t, o, r)
					s.poll(t, r, 1<<20)
					s.now += 100
				}
			},
			"poll": func(t *rapid.T) {
				if r := anyReader(t); !r.paused {
					s.poll(t, r, rapid.IntRange(1, 8).Draw(t, "limit"))
				}
			},
			"peer catch-up": func(t *rapid.T) {
				from, to := anyReader(t), anyReader(t)
				c := from.state.CatchUp(to.state.Position(), rapid.IntRange(1, 2000).Draw(t, "bytes"))
				if c.Snapshot != nil {
					counts["peer snapshot"]++
				}
				counts["peer records"] += len(c.Records)
				if _, err := to.state.ApplyCatchUp(c); err != nil {
					t.Fatal(err)
				}
				if to.state.Position() < from.state.Position() && len(c.Records) == 0 && c.Snapshot == nil {
					t.Fatal("a peer that is ahead sent nothing")
				}
			},
			"late append": func(t *rapid.T) {
				o := s.anyOperator(t)
				if len(o.lateAppends) > 0 {
					s.append(t, o.lateAppends[0])
					o.lateAppends = o.lateAppends[1:]
					counts["late append"]++
				}
			},
			"malformed": func(t *rapid.T) {
				s.append(t, []byte(rapid.SampledFrom([]string{"", "{", "null", `{"format":1}`, "\x00"}).Draw(t, "data")))
			},
			"bad snapshot": func(t *rapid.T) {
				data := slices.Clone(anyReader(t).state.Snapshot().Data)
				s.snapshots.append(data[:rapid.IntRange(0, len(data)-1).Draw(t, "cut")], s.now)
			},
			"extra snapshot": func(t *rapid.T) {
				if extra {
					s.snapshots.append(anyReader(t).state.Snapshot().Data, s.now)
				}
			},
			"restore": func(t *rapid.T) {
				if _, err := anyReader(t).state.Restore(anyReader(t).state.Snapshot()); err != nil {
					t.Fatal(err)
				}
			},
			"pause": func(t *rapid.T) { r := anyReader(t); r.paused = !r.paused },
			"restart": func(t *rapid.T) {
				if i := rapid.IntRange(1, len(s.readers)-1).Draw(t, "index"); true {
					s.restart(s.readers[i])
					before[i] = 0
				}
			},
			"advance": func(t *rapid.T) {
				s.now += oleanderspool.Millis(rapid.Int64Range(0, int64(fuzzRetention/5)).Draw(t, "duration"))
				s.poll(t, s.readers[0], 1<<20) // one entry always keeps running
				s.log.expire(s.now - fuzzRetention)
				s.snapshots.expire(s.now - fuzzRetention)
			},
			"": func(t *rapid.T) {
				s.check(t, before)
				for i, r := range s.readers {
					before[i] = r.state.Position()
				}
			},
		})
		for _, r := range s.readers {
			for range 3 {
				s.poll(t, r, 1<<20)
			}
			if string(r.state.Snapshot().Data) != string(s.oracle.Snapshot().Data) {
				t.Fatalf("a reader ends at position %d of %d with a different state than the oracle", r.state.Position(), s.oracle.Position())
			}
		}
	})
	t.Log(counts)
	for _, event := range []string{
		"accepted", "rejected", "repeated", "gap", "snapshot", "late append", "peer snapshot", "peer records",
		"result in_force", "result accepted", "result rejected", "result unknown", "result not_appended",
	} {
		if counts[event] == 0 {
			t.Errorf("event never occurred: %s", event)
		}
	}
}
