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

// reusedID is given to changes of several operators.
const reusedID = "reused"

// fakeLog is a stream with retention and faults.
type fakeLog struct {
	records []oleanderspool.Record
	ages    []oleanderspool.Millis
	head    oleanderspool.Offset
}

func (l *fakeLog) append(data []byte, now oleanderspool.Millis) oleanderspool.Offset {
	l.head++
	l.records = append(l.records, oleanderspool.Record{Offset: l.head, Data: data})
	l.ages = append(l.ages, now)
	return l.head
}

func (l *fakeLog) expire(before oleanderspool.Millis) {
	n := 0
	for n < len(l.ages) && l.ages[n] < before {
		n++
	}
	l.records, l.ages = l.records[n:], l.ages[n:]
}

func (l *fakeLog) read(from oleanderspool.Offset, limit int) []oleanderspool.Record {
	i, _ := slices.BinarySearchFunc(l.records, from, func(r oleanderspool.Record, o oleanderspool.Offset) int { return int(r.Offset - o) })
	return l.records[i:min(len(l.records), i+limit)]
}

// reader is a process that replays the stream.
type reader struct {
	state    *State
	schedule *SnapshotSchedule
	seen     oleanderspool.Offset // position in the snapshot stream
	paused   bool
}

// operator publishes changes, one at a time.
type operator struct {
	publisher *Publisher
	late      [][]byte // appends that may still have their effect
	effect    bool     // an append of this publisher had, or may still have, its effect
}

// fleet is several readers and operators at one log, and the oracle: a state
// that reads each record when it is appended.
type fleet struct {
	now       oleanderspool.Millis
	log       fakeLog
	snapshots fakeLog
	truth     *State
	bytes     map[oleanderspool.Revision]string
	accepted  map[string]oleanderspool.Offset
	readers   []*reader
	operators []*operator
	changes   int
	counts    map[string]int
	bounds    bounds
}

func newFleet(limits bounds) *fleet {
	f := &fleet{
		bounds: limits, truth: &State{bounds: limits}, bytes: map[oleanderspool.Revision]string{}, accepted: map[string]oleanderspool.Offset{}, counts: map[string]int{},
	}
	f.bytes[0] = string(f.truth.Configuration().Print())
	for range 4 {
		r := &reader{}
		f.restart(r)
		f.readers = append(f.readers, r)
		f.operators = append(f.operators, &operator{})
	}
	return f
}

func (f *fleet) restart(r *reader) {
	*r = reader{state: &State{bounds: f.bounds}, schedule: NewSnapshotSchedule(fuzzRetention, oleanderspool.InstanceID(fmt.Sprint(len(f.readers))), f.now)}
}

func (f *fleet) append(t *rapid.T, data []byte) oleanderspool.Offset {
	offset := f.log.append(data, f.now)
	d, err := f.truth.Apply(oleanderspool.Record{Offset: offset, Data: data})
	if err != nil {
		t.Fatal(err)
	}
	f.counts[d.Verdict.String()]++
	if d.Repeated {
		f.counts["repeated"]++
	}
	if d.Verdict == Accepted {
		if before, again := f.accepted[d.Change]; again && before != d.Offset && f.bounds == (bounds{}) {
			t.Fatalf("%s accepted at %d and %d", d.Change, before, d.Offset)
		}
		f.accepted[d.Change] = d.Offset
		f.bytes[f.truth.Revision()] = string(f.truth.Configuration().Print())
	}
	return offset
}

func (f *fleet) anyOperator(t *rapid.T) *operator {
	return f.operators[rapid.IntRange(0, len(f.operators)-1).Draw(t, "operator")]
}

// poll reads up to limit records as an entry does, and the snapshots when
// records are missing.
func (f *fleet) poll(t *rapid.T, r *reader, limit int) {
	f.pollSnapshots(r)
	for _, record := range f.log.read(r.state.Position()+1, limit) {
		_, err := r.state.Apply(record)
		var gap *GapError
		if errors.As(err, &gap) {
			f.counts["gap"]++
			restored, _ := r.state.RestoreNewest(f.snapshots.records)
			if !restored {
				t.Fatalf("position %d: %v, and no snapshot helps", r.state.Position(), err)
			}
			return
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	if r.schedule.Due(r.state.Position(), f.now) {
		r.schedule.RecordAttempt(f.now)
		f.snapshots.append(r.state.Snapshot().Data, f.now)
		f.counts["snapshot"]++
	}
}

func (f *fleet) pollSnapshots(r *reader) {
	for _, record := range f.snapshots.read(r.seen+1, 1000) {
		snapshot, err := ParseSnapshot(record.Data)
		if err == nil && r.seen == 0 {
			r.schedule.RecordExisting(snapshot.Position)
		} else if err == nil {
			r.schedule.RecordSnapshot(snapshot.Position, f.now)
		}
	}
	r.seen = f.snapshots.head
}

// draft returns a random change against the configuration of a reader.
func (f *fleet) draft(t *rapid.T, s *State) configuration.ChangeSet {
	f.changes++
	change := configuration.ChangeSet{ID: fmt.Sprintf("c%d", f.changes)}
	if rapid.IntRange(0, 9).Draw(t, "reuse") == 0 {
		change.ID = reusedID
	}
	named := map[configuration.Ref]bool{}
	for range rapid.IntRange(1, 3).Draw(t, "objects") {
		id := fmt.Sprint("p", rapid.IntRange(0, 4).Draw(t, "id"))
		var o configuration.Object = configuration.Priority{ID: oleanderspool.PriorityID(id), Level: rapid.IntRange(0, 100).Draw(t, "level")}
		if rapid.Bool().Draw(t, "account") {
			o = configuration.ClientAccount{
				ID: oleanderspool.ClientAccountID(id), KeyHash: configuration.HashKey(id), Priority: oleanderspool.PriorityID(id), ShareOfCapacity: 1,
			}
		}
		ref := o.Ref()
		if named[ref] {
			continue
		}
		named[ref] = true
		if _, found := s.Configuration().Object(ref); found && rapid.IntRange(0, 3).Draw(t, "delete") == 0 {
			change.Deletes = append(change.Deletes, configuration.Delete{Ref: ref, Revision: s.Configuration().Revision(ref)})
			continue
		}
		change.Puts = append(change.Puts, configuration.Put{Object: o, Revision: s.Configuration().Revision(ref)})
	}
	return change
}

// work takes one step of an operator's publisher, with a random fault.
func (f *fleet) work(t *rapid.T, o *operator, r *reader) {
	if o.publisher == nil {
		p, err := NewPublisher(f.draft(t, r.state), f.now+fuzzRetention/4)
		if err != nil {
			t.Fatal(err)
		}
		p.ExpectInstances("0", "1", "2", "3")
		o.publisher, o.effect = p, false
	}
	p := o.publisher
	switch step, at := p.Next(f.now); {
	case at > f.now:
		return
	case step == StepAppend:
		f.appendWithFault(t, o)
	case step == StepRead:
		if d, found := r.state.Decision(p.change); found {
			p.Observe(d)
		}
		p.Replayed(r.state.Position(), f.log.head)
	case step == StepWait:
		for i, other := range f.readers {
			p.ReportRevision(oleanderspool.InstanceID(fmt.Sprint(i)), other.state.Revision())
		}
	case step == StepDone:
		f.checkResult(t, p, o.effect)
		o.publisher = nil
	}
}

func (f *fleet) appendWithFault(t *rapid.T, o *operator) {
	p := o.publisher
	fault := rapid.SampledFrom([]string{"ok", "ok", "lost answer", "late", "never", "refused", "no result"}).Draw(t, "append")
	o.effect = o.effect || fault != "never" && fault != "refused"
	switch fault {
	case "ok":
		p.Appended(f.append(t, p.Data()))
	case "lost answer":
		f.append(t, p.Data())
		p.AppendFailed(oleanderspool.ErrUncertain.New("answer lost"), f.now)
	case "late":
		o.late = append(o.late, p.Data())
		p.AppendFailed(oleanderspool.ErrUncertain.New("time limit"), f.now)
	case "never":
		p.AppendFailed(oleanderspool.ErrUncertain.New("time limit"), f.now)
	case "refused":
		p.AppendFailed(oleanderspool.ErrUnavailable.New("outage"), f.now)
	case "no result":
		f.append(t, p.Data())
	}
}

func (f *fleet) checkResult(t *rapid.T, p *Publisher, effect bool) {
	result := p.Result()
	f.counts["result "+result.Status.String()]++
	if f.bounds != (bounds{}) {
		return // a copy that arrives after the small window is decided anew
	}
	offset, accepted := f.accepted[p.change]
	switch result.Status {
	case StatusInForce, StatusAccepted:
		if !accepted || offset != result.Revision {
			t.Fatalf("%s reported as %v at %d, accepted %v at %d", p.change, result.Status, result.Revision, accepted, offset)
		}
		if result.Status == StatusAccepted && len(result.Lagging) == 0 {
			t.Fatalf("%s is not in force, but nobody lags", p.change)
		}
	case StatusRejected:
		if accepted && f.truth.decisions.byChange[p.change].Digest == p.digest {
			t.Fatalf("%s reported as rejected, accepted at %d", p.change, offset)
		}
	case StatusNotAppended:
		if effect {
			t.Fatalf("%s reported as not appended, but an append had or may have its effect", p.change)
		}
	case StatusPending:
		t.Fatalf("%s is done but pending", p.change)
	}
}

// check compares every reader with the oracle.
func (f *fleet) check(t *rapid.T, before []oleanderspool.Offset) {
	for i, r := range f.readers {
		got := r.state
		if got.Position() == before[i] && before[i] > 0 {
			continue
		}
		if got.Position() < before[i] {
			t.Fatalf("reader %d went back from %d to %d", i, before[i], got.Position())
		}
		if want, known := f.bytes[got.Revision()]; !known || want != string(got.Configuration().Print()) {
			t.Fatalf("reader %d at revision %d holds\n%s\nwant\n%s", i, got.Revision(), got.Configuration().Print(), want)
		}
		if got.Position() == f.truth.Position() && string(got.Snapshot().Data) != string(f.truth.Snapshot().Data) {
			t.Fatalf("reader %d at position %d has another state", i, got.Position())
		}
	}
}

// Guards against readers that disagree, go back or lose accepted changes, and
// against publishers that report what is not so, under any order of faults.
func TestReadersAgree(t *testing.T) {
	cases := []struct {
		name   string
		limits bounds
		extra  bool // snapshots are also written outside the schedule
	}{
		{"default bounds", bounds{}, true},
		{"small bounds", bounds{window: 12, tailRecords: 5, tailBytes: 600}, true},
		{"scheduled snapshots only", bounds{}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { readersAgree(t, c.limits, c.extra) })
	}
}

func readersAgree(t *testing.T, limits bounds, extra bool) {
	counts := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(limits)
		f.counts = counts
		one := func(t *rapid.T) *reader { return f.readers[rapid.IntRange(0, len(f.readers)-1).Draw(t, "reader")] }
		before := make([]oleanderspool.Offset, len(f.readers))
		t.Repeat(map[string]func(*rapid.T){
			"operate": func(t *rapid.T) { f.work(t, f.anyOperator(t), one(t)) },
			"operate at length": func(t *rapid.T) {
				o, r := f.anyOperator(t), f.readers[0]
				for range rapid.IntRange(1, 12).Draw(t, "steps") {
					f.work(t, o, r)
					f.poll(t, r, 1<<20)
					f.now += 100
				}
			},
			"poll": func(t *rapid.T) {
				if r := one(t); !r.paused {
					f.poll(t, r, rapid.IntRange(1, 8).Draw(t, "limit"))
				}
			},
			"peer": func(t *rapid.T) {
				from, to := one(t), one(t)
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
			"late": func(t *rapid.T) {
				o := f.anyOperator(t)
				if len(o.late) > 0 {
					f.append(t, o.late[0])
					o.late = o.late[1:]
					counts["late"]++
				}
			},
			"malformed": func(t *rapid.T) {
				f.append(t, []byte(rapid.SampledFrom([]string{"", "{", "null", `{"format":1}`, "\x00"}).Draw(t, "data")))
			},
			"bad snapshot": func(t *rapid.T) {
				data := slices.Clone(one(t).state.Snapshot().Data)
				f.snapshots.append(data[:rapid.IntRange(0, len(data)-1).Draw(t, "cut")], f.now)
			},
			"extra snapshot": func(t *rapid.T) {
				if extra {
					f.snapshots.append(one(t).state.Snapshot().Data, f.now)
				}
			},
			"restore": func(t *rapid.T) {
				if _, err := one(t).state.Restore(one(t).state.Snapshot()); err != nil {
					t.Fatal(err)
				}
			},
			"pause": func(t *rapid.T) { r := one(t); r.paused = !r.paused },
			"restart": func(t *rapid.T) {
				if i := rapid.IntRange(1, len(f.readers)-1).Draw(t, "index"); true {
					f.restart(f.readers[i])
					before[i] = 0
				}
			},
			"advance": func(t *rapid.T) {
				f.now += oleanderspool.Millis(rapid.Int64Range(0, int64(fuzzRetention/5)).Draw(t, "span"))
				f.poll(t, f.readers[0], 1<<20) // one entry always runs
				f.log.expire(f.now - fuzzRetention)
				f.snapshots.expire(f.now - fuzzRetention)
			},
			"": func(t *rapid.T) {
				f.check(t, before)
				for i, r := range f.readers {
					before[i] = r.state.Position()
				}
			},
		})
		for _, r := range f.readers {
			for range 3 {
				f.poll(t, r, 1<<20)
			}
			if string(r.state.Snapshot().Data) != string(f.truth.Snapshot().Data) {
				t.Fatalf("a reader ends at position %d of %d", r.state.Position(), f.truth.Position())
			}
		}
	})
	t.Log(counts)
	for _, event := range []string{
		"accepted", "rejected", "repeated", "gap", "snapshot", "late", "peer snapshot", "peer records",
		"result in_force", "result accepted", "result rejected", "result unknown", "result not_appended",
	} {
		if counts[event] == 0 {
			t.Errorf("the run never had: %s", event)
		}
	}
}
