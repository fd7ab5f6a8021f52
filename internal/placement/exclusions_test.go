package placement_test

import (
	"slices"
	"testing"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/directory"
	"github.com/oleanderspool/oleanderspool/internal/placement"
)

// Guards against requests to servers that said that they want none, and against
// servers that stay out of use for good.
func TestExclusions(t *testing.T) {
	const second = oleanderspool.Second
	server := func(name string, started int64) directory.Server {
		return directory.Server{Instance: oleanderspool.InstanceID(name), Address: "10.0.0.1:80", Started: started}
	}
	a, again, b := server("a", 1), server("a", 2), server("b", 1)
	cases := []struct {
		name     string
		record   func(*placement.Exclusions)
		at       oleanderspool.Millis
		usable   []directory.Server // of a, again and b
		wait     oleanderspool.Millis
		excluded bool // a and b are excluded, one of them for a time
	}{
		{"nothing said", func(*placement.Exclusions) {}, 0, []directory.Server{a, again, b}, 0, false},
		{"one leaves", func(x *placement.Exclusions) { x.RecordLeaving(a.Run(), 0) }, 5 * oleanderspool.Minute, []directory.Server{again, b}, 0, false},
		{"one was wrong about leaving", func(x *placement.Exclusions) { x.RecordLeaving(a.Run(), 0) }, oleanderspool.Hour, []directory.Server{a, again, b}, 0, false},
		{"one asks for time", func(x *placement.Exclusions) { x.RecordPause(a.Run(), second, 0) }, second - 1, []directory.Server{again, b}, 0, false},
		{"the time has passed", func(x *placement.Exclusions) { x.RecordPause(a.Run(), second, 0) }, second, []directory.Server{a, again, b}, 0, false},
		{"a shorter time later", func(x *placement.Exclusions) {
			x.RecordPause(a.Run(), 5*second, 0)
			x.RecordPause(a.Run(), second, 10)
		}, 4 * second, []directory.Server{again, b}, 0, false},
		{"a time without end", func(x *placement.Exclusions) { x.RecordPause(a.Run(), oleanderspool.Hour, 0) }, 10 * oleanderspool.Minute, []directory.Server{a, again, b}, 0, false},
		{"all ask for time", func(x *placement.Exclusions) {
			x.RecordPause(a.Run(), 3*second, 0)
			x.RecordPause(b.Run(), 2*second, 0)
		}, second, []directory.Server{again}, second, true},
		{"one asks for time, the other leaves", func(x *placement.Exclusions) {
			x.RecordPause(a.Run(), 3*second, 0)
			x.RecordLeaving(b.Run(), 0)
		}, second, []directory.Server{again}, 2 * second, true},
		{"all leave", func(x *placement.Exclusions) {
			x.RecordLeaving(a.Run(), 0)
			x.RecordLeaving(b.Run(), 0)
		}, second, []directory.Server{again}, 0, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			x := placement.NewExclusions()
			c.record(x)
			if got := x.Filter([]directory.Server{a, again, b}, c.at); !slices.Equal(got, c.usable) {
				t.Errorf("usable %v, want %v", got, c.usable)
			}
			if wait, found := x.AvailableIn([]directory.Server{a, b}, c.at); wait != c.wait || found != c.excluded {
				t.Errorf("available in %d, %v; want %d, %v", wait, found, c.wait, c.excluded)
			}
			x.Expire(c.at)
			if got := x.Filter([]directory.Server{a, again, b}, c.at); !slices.Equal(got, c.usable) {
				t.Errorf("usable %v after old exclusions were forgotten, want %v", got, c.usable)
			}
		})
	}
}
