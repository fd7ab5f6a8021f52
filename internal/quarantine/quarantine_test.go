package quarantine_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/directory"
	"github.com/oleanderspool/oleanderspool/internal/quarantine"
)

const (
	dead   oleanderspool.Fingerprint = 1 + iota // part that crashes servers
	common                                      // part of most requests
	rare                                        // part of few requests
	sound                                       // another part
)

// step is a crash with a request in flight, or an answer.
type step struct {
	at       oleanderspool.Millis
	server   string // empty for an answer
	request  oleanderspool.Fingerprint
	parts    []oleanderspool.Fingerprint
	streamed bool // the answer had begun long before the crash
}

func (s step) apply(t *quarantine.Tracker) {
	subject := quarantine.Subject{Request: s.request, Parts: s.parts}
	if s.server == "" {
		t.RecordAnswer(subject, s.at)
		return
	}
	if s.streamed {
		subject.Parts = nil
	}
	t.RecordCrash(quarantine.Crash{Server: directory.ServerRun{Instance: oleanderspool.InstanceID(s.server)}, Subject: subject, Beginning: !s.streamed, At: s.at}, s.at)
}

func parts(list ...oleanderspool.Fingerprint) []oleanderspool.Fingerprint {
	return list
}

// Guards against parts that go on crashing servers, and against refusals of requests
// that have other parts, or the same cause for their crashes, in common with them.
func TestQuarantinedParts(t *testing.T) {
	answer := step{at: 50, request: 90, parts: parts(sound)}
	cases := []struct {
		name     string
		steps    []step
		expected []oleanderspool.Fingerprint
	}{
		{"three separate crashes by different requests", []step{
			{0, "a", 10, parts(common, dead), false},
			answer,
			{1000, "", 91, parts(common), false},
			{1100, "b", 11, parts(common, dead), false},
			{2000, "c", 12, parts(common, dead), false},
		}, parts(dead)},
		{"nothing else was answered meanwhile", []step{
			{0, "a", 10, parts(dead), false}, {1100, "b", 11, parts(dead), false}, {2000, "c", 12, parts(dead), false},
		}, nil},
		{"crashes by one request only", []step{
			{0, "a", 10, parts(dead), false}, answer, {1100, "b", 10, parts(dead), false}, {2000, "c", 10, parts(dead), false}, {3000, "d", 10, parts(dead), false},
		}, nil},
		{"servers that are lost at the same time", []step{
			{0, "a", 10, parts(rare), false}, {0, "e", 13, parts(sound), false}, answer, {100, "b", 11, parts(rare), false}, {200, "c", 12, parts(rare), false},
		}, nil},
		{"a part that was answered between the crashes", []step{
			{0, "a", 10, parts(rare), false}, answer, {1100, "b", 11, parts(rare), false}, {1500, "", 14, parts(rare), false}, {2000, "c", 12, parts(rare), false},
		}, nil},
		{"a part that was answered before needs more crashes", []step{
			{0, "", 14, parts(rare), false}, {10, "a", 10, parts(rare), false}, answer, {1100, "b", 11, parts(rare), false}, {2000, "c", 12, parts(rare), false}, {3000, "d", 13, parts(rare), false},
		}, nil},
		{"a part that was answered before and crashes five servers", []step{
			{0, "", 14, parts(rare), false},
			{10, "a", 10, parts(rare), false},
			answer,
			{1100, "b", 11, parts(rare), false},
			{2000, "c", 12, parts(rare), false},
			{3000, "d", 13, parts(rare), false},
			{4000, "e", 15, parts(rare), false},
		}, parts(rare)},
		{"a part that was answered between many crashes", []step{
			{0, "", 14, parts(rare), false},
			{10, "a", 10, parts(rare), false},
			{1100, "b", 11, parts(rare), false},
			{2000, "c", 12, parts(rare), false},
			{3000, "d", 13, parts(rare), false},
			{3500, "", 14, parts(rare), false},
			{4000, "e", 15, parts(rare), false},
		}, nil},
		{"requests that had streamed for long", []step{
			{0, "a", 10, parts(rare), true}, answer, {1100, "b", 11, parts(rare), true}, {2000, "c", 12, parts(rare), true},
		}, nil},
		{"the more specific of two parts that are always together", []step{
			{0, "a", 10, parts(rare, dead), false}, answer, {1100, "b", 11, parts(rare, dead), false}, {2000, "c", 12, parts(rare, dead), false}, {3000, "d", 13, parts(rare, dead), false},
		}, parts(dead)},
		{"a part that nearly all of many crashes in a row have", []step{
			{0, "a", 10, parts(dead), false}, {50, "", 90, parts(sound), false}, {60, "b", 11, parts(dead), false}, {80, "c", 12, parts(dead), false}, {100, "d", 13, parts(dead), false}, {120, "e", 14, parts(dead), false},
		}, parts(dead)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tracker := quarantine.New()
			for _, s := range c.steps {
				s.apply(tracker)
			}
			var got []oleanderspool.Fingerprint
			for _, p := range tracker.Quarantined() {
				got = append(got, p.Fingerprint)
			}
			if fmt.Sprint(got) != fmt.Sprint(c.expected) {
				t.Errorf("quarantined %v, want %v", got, c.expected)
			}
		})
	}
}

// quarantined returns a tracker that quarantined dead at 2,000 ms. A request without
// it was in flight at two of the crashes.
func quarantined() *quarantine.Tracker {
	tracker := quarantine.New()
	for _, s := range []step{
		{0, "a", 10, parts(dead), false},
		{0, "a", 20, parts(rare), false},
		{50, "", 90, parts(sound), false},
		{1100, "b", 11, parts(dead), false},
		{1100, "b", 20, parts(rare), false},
		{2000, "c", 12, parts(dead), false},
	} {
		s.apply(tracker)
	}
	return tracker
}

// Guards against requests that are refused because they were in flight beside the
// cause of a crash, parts that are refused for ever, and trials by each entry.
func TestVerdicts(t *testing.T) {
	withPart := quarantine.Subject{Request: 13, Parts: parts(common, dead)}
	cases := []struct {
		name     string
		change   func(*quarantine.Tracker)
		subject  quarantine.Subject
		mayTry   bool
		at       oleanderspool.Millis
		expected quarantine.Verdict
	}{
		{"a new request with the part", nil, withPart, true, 2001, quarantine.CrashingPart},
		{"a request beside the cause", nil, quarantine.Subject{Request: 20, Parts: parts(rare)}, true, 2001, quarantine.Allowed},
		{"a request with other parts", nil, quarantine.Subject{Request: 14, Parts: parts(common)}, true, 2001, quarantine.Allowed},
		{"a trial", nil, withPart, true, 63000, quarantine.Allowed},
		{"a trial at another entry", nil, withPart, false, 63000, quarantine.CrashingPart},
		{"after a trial", func(tr *quarantine.Tracker) { tr.Judge(withPart, true, 63000) }, withPart, true, 63001, quarantine.CrashingPart},
		{"after three trials that crashed servers", func(tr *quarantine.Tracker) {
			for i, at := range []oleanderspool.Millis{63000, 190000, 440000} {
				step{at, fmt.Sprint("trial", i), oleanderspool.Fingerprint(30 + i), parts(dead), false}.apply(tr)
			}
		}, withPart, true, 540000, quarantine.CrashingPart},
		{"after two trials that crashed servers", func(tr *quarantine.Tracker) {
			for i, at := range []oleanderspool.Millis{63000, 190000} {
				step{at, fmt.Sprint("trial", i), oleanderspool.Fingerprint(30 + i), parts(dead), false}.apply(tr)
			}
		}, withPart, true, 540000, quarantine.Allowed},
		{"after an answer", func(tr *quarantine.Tracker) { tr.Clear(quarantine.Answer{Fingerprint: dead, At: 2500}) }, withPart, false, 2600, quarantine.Allowed},
		{"after an answer to an earlier request", func(tr *quarantine.Tracker) { tr.Clear(quarantine.Answer{Fingerprint: dead, At: 1500}) }, withPart, false, 2600, quarantine.CrashingPart},
		{"when another entry repeats what an answer disproved", func(tr *quarantine.Tracker) {
			tr.Clear(quarantine.Answer{Fingerprint: dead, At: 2500})
			tr.Merge(quarantine.Part{Fingerprint: dead, Since: 2000, RequestedAt: 2550}, 2600)
		}, withPart, false, 2600, quarantine.Allowed},
		{"long after the last request with the part", func(tr *quarantine.Tracker) { tr.Expire(2000 + 10*oleanderspool.Minute) }, withPart, false, 2000 + 10*oleanderspool.Minute, quarantine.Allowed},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tracker := quarantined()
			if c.change != nil {
				c.change(tracker)
			}
			if got := tracker.Judge(c.subject, c.mayTry, c.at); got != c.expected {
				t.Errorf("verdict %v, want %v", got, c.expected)
			}
		})
	}
}

// Guards against a request that crashes one server after the other although no part of
// its prompt does.
func TestCrashingRequests(t *testing.T) {
	cases := []struct {
		name     string
		crashes  []step
		expected quarantine.Verdict
	}{
		{"two crashes as its answer began", []step{{0, "a", 10, nil, false}, {500, "b", 10, nil, false}}, quarantine.CrashingRequest},
		{"two crashes in the middle of its answer", []step{{0, "a", 10, nil, true}, {500, "b", 10, nil, true}}, quarantine.Allowed},
		{"three crashes in the middle of its answer", []step{{0, "a", 10, nil, true}, {500, "b", 10, nil, true}, {900, "c", 10, nil, true}}, quarantine.CrashingRequest},
		{"an answer after the first crash", []step{{0, "a", 10, nil, false}, {200, "", 10, nil, false}, {500, "b", 10, nil, false}}, quarantine.Allowed},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tracker := quarantine.New()
			for _, s := range c.crashes {
				s.apply(tracker)
			}
			if got := tracker.Judge(quarantine.Subject{Request: 10}, false, 1000); got != c.expected {
				t.Errorf("verdict %v, want %v", got, c.expected)
			}
		})
	}
}

// Guards against new crashes that are ignored once many are tracked.
func TestOldCrashesMakeRoom(t *testing.T) {
	tracker := quarantine.New()
	for i := range 2500 {
		step{0, fmt.Sprint("old", i), oleanderspool.Fingerprint(100 + i), nil, false}.apply(tracker)
	}
	for _, s := range []step{
		{100, "a", 10, parts(dead), false}, {150, "", 90, parts(sound), false}, {1100, "b", 11, parts(dead), false}, {2000, "c", 12, parts(dead), false},
	} {
		s.apply(tracker)
	}
	if got := tracker.Judge(quarantine.Subject{Request: 13, Parts: parts(dead)}, false, 2001); got != quarantine.CrashingPart {
		t.Errorf("verdict %v", got)
	}
}

// Guards against parts of answered requests that stay quarantined while servers crash
// for other reasons: after an answer all requests with its parts are allowed again,
// whatever was reported in which order before.
func TestAnAnswerReleasesItsParts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker := quarantine.New()
		now := oleanderspool.Millis(0)
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			now += oleanderspool.Millis(rapid.IntRange(0, 2000).Draw(t, "pause"))
			s := step{
				at: now - oleanderspool.Millis(rapid.IntRange(0, 500).Draw(t, "age")), request: oleanderspool.Fingerprint(rapid.IntRange(10, 20).Draw(t, "request")),
				parts: parts(oleanderspool.Fingerprint(rapid.IntRange(1, 4).Draw(t, "part"))), streamed: rapid.Bool().Draw(t, "streamed"),
			}
			if rapid.IntRange(0, 3).Draw(t, "kind") > 0 {
				s.server = fmt.Sprint(rapid.IntRange(0, 30).Draw(t, "server"))
			}
			s.apply(tracker)
		}
		now += oleanderspool.Second
		answered := quarantine.Subject{Request: 15, Parts: parts(1, 2)}
		tracker.RecordAnswer(answered, now)
		if got := tracker.Judge(answered, false, now+1); got != quarantine.Allowed {
			t.Fatalf("verdict %v after an answer", got)
		}
	})
}
