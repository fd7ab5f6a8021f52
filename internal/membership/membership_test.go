package membership_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/golden"
	"github.com/oleanderspool/oleanderspool/internal/membership"
	"github.com/oleanderspool/oleanderspool/pkg/configuration"
)

func listed(instance string) oleanderspool.InstanceState {
	return oleanderspool.InstanceState{Instance: oleanderspool.InstanceID(instance), DataCentre: "a", Address: "10.0.0.1:1", Role: "model"}
}

func report(t *membership.Table, stream, position int64, incarnation string, leaving bool, now oleanderspool.Millis) []membership.Change {
	return t.ApplyReport(membership.Report{
		Stream: membership.Stream(stream), Position: position, Instance: "s",
		Incarnation: oleanderspool.Incarnation(incarnation), Leaving: leaving,
	}, now)
}

// newStartedTable returns a table in which incarnation i1 of instance s has reported.
func newStartedTable() *membership.Table {
	t := membership.New()
	t.ApplyList(1, []oleanderspool.InstanceState{listed("s")}, 0)
	t.OpenStream("s")
	report(t, 1, 1, "i1", false, 0)
	return t
}

// play executes one line of a session: an instant, an event and its arguments. It
// returns the line, the changes and the incarnations that may be chosen.
func play(t *membership.Table, line string) string {
	words := append(strings.Fields(line), "", "", "")
	leaving := strings.HasSuffix(line, "leaving")
	now := oleanderspool.Millis(number(words[0]))
	var changes []membership.Change
	switch words[1] {
	case "list":
		var list []oleanderspool.InstanceState
		if words[3] != "" {
			list = append(list, listed(words[3]))
			list[0].Leaving = leaving
		}
		changes = t.ApplyList(oleanderspool.Millis(number(words[2])), list, now)
	case "open":
		t.OpenStream("s")
	case "report":
		changes = report(t, number(words[2]), number(words[3]), words[4], leaving, now)
	case "tick":
		changes = t.Tick(now)
	case "observe_ended":
		changes = t.ObserveEnded("s", oleanderspool.Incarnation(words[2]), now)
	case "observe_leaving":
		changes = t.ObserveLeaving("s", oleanderspool.Incarnation(words[2]), now)
	case "stop_watching":
		t.StopWatching("s", now)
	default:
		return line + "\n"
	}
	result := line + "\n    changes:"
	for _, c := range changes {
		result += fmt.Sprintf(" %s %s", c.Kind, c.Incarnation)
	}
	result += "\n    may be chosen:"
	for _, b := range t.Snapshot() {
		result += " " + string(b.Incarnation)
	}
	return result + "\n"
}

func number(word string) int64 {
	n, err := strconv.ParseInt(word, 10, 64)
	if err != nil {
		return 0 // a comment
	}
	return n
}

var _ = Describe("Table", func() {
	scripts, err := filepath.Glob("testdata/*.session")
	if err != nil || len(scripts) == 0 {
		panic("no sessions in testdata")
	}
	// The first line of each session states the failure that it guards against.
	for _, script := range scripts {
		It("reproduces the golden file of "+script, func() {
			lines, err := os.ReadFile(script)
			Expect(err).NotTo(HaveOccurred())
			table, got := membership.New(), ""
			list := membership.NewList("e1", ownEpoch, membership.WithListBudget(smallBudget))
			for line := range strings.Lines(string(lines)) {
				if strings.HasPrefix(filepath.Base(script), "list_") {
					got += playList(list, strings.TrimSpace(line))
				} else {
					got += play(table, strings.TrimSpace(line))
				}
			}
			golden.Match(strings.TrimSuffix(script, ".session")+".golden", got)
		})
	}

	// Guards against a snapshot that changes while a request reads it, and against a
	// new snapshot for every report.
	It("does not modify a published snapshot and publishes at most one per interval", func() {
		table := newStartedTable()
		old := table.Snapshot()
		for i := range 19 {
			report(table, 1, int64(2+i), "i1", false, oleanderspool.Millis(1+i))
		}
		Expect(&table.Snapshot()[0]).To(BeIdenticalTo(&old[0]))
		table.Tick(20)
		Expect(old[0].ReportedAt).To(BeZero())
		Expect(table.Snapshot()[0].ReportedAt).To(Equal(oleanderspool.Millis(19)))
	})

	// Guards against one new snapshot per agent when an entry starts: with 12,000
	// agents that took 16 s.
	It("does not publish a snapshot for each agent that starts", func() {
		table, _ := newReportedTable(200)
		Expect(table.SnapshotCount()).To(Equal(2))
		Expect(table.Snapshot()).To(HaveLen(200))
	})

	// Guards against rate limits that are divided among entries that are leaving.
	It("counts the listed entries that are not leaving", func() {
		table := membership.New()
		Expect(table.EntryCount()).To(Equal(1))
		table.ApplyList(1, []oleanderspool.InstanceState{{Instance: "a", Role: "entry"}, {Instance: "b", Role: "entry"}, {Instance: "c", Role: "entry", Leaving: true}}, 0)
		Expect(table.EntryCount()).To(Equal(2))
		Expect(table.AgentCount()).To(BeZero())
	})

	// Guards against agents without their sets or with the sets of an older revision.
	It("assigns agents the sets of the newest configuration revision", func() {
		table := newStartedTable()
		table.ApplySets(5, []configuration.ServerSet{{ID: "new", Instances: []oleanderspool.InstanceID{"s"}}}, 20)
		table.ApplySets(4, []configuration.ServerSet{{ID: "old", Instances: []oleanderspool.InstanceID{"s"}}}, 40)
		Expect(table.Snapshot()[0].Sets).To(Equal([]oleanderspool.ServerSetID{"new"}))
	})
})
