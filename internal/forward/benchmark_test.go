package forward_test

import (
	"fmt"
	"testing"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/clock"
	"github.com/oleanderspool/oleanderspool/internal/directory"
	"github.com/oleanderspool/oleanderspool/internal/forward"
	"github.com/oleanderspool/oleanderspool/internal/gossip"
	"github.com/oleanderspool/oleanderspool/internal/placement"
	"github.com/oleanderspool/oleanderspool/platform"
)

// BenchmarkApply measures what an entry spends in one second on the messages of the
// others: three changes of each request and a complete message of each entry. At
// 3 requests a second an entry has 6 tasks.
func BenchmarkApply(b *testing.B) {
	const (
		requestsPerSecond = 3
		tasksPerEntry     = 6
	)
	for _, size := range []struct{ entries, servers int }{{30, 300}, {102, 172}, {300, 3000}, {830, 12000}} {
		b.Run(fmt.Sprintf("entries=%d/servers=%d", size.entries, size.servers), func(b *testing.B) {
			state := forward.New(directory.NewView(), platform.Headers{}, clock.NewBoot()).State()
			task := func(entry, i int) gossip.Task {
				return gossip.Task{Task: placement.Task{
					ID: placement.TaskID(entry<<24 | i), Server: oleanderspool.InstanceID(fmt.Sprintf("i-%08x", (entry*7+i)%size.servers)), ContextTokens: 5000, MemoryTokens: 6000,
					OutputTokens: 1500, PrefillMillis: 20, MaxPassPrefillMillis: 20, Value: 1.5, TTFTGoal: 300, InterTokenGoal: 200,
				}, Age: 5}
			}
			var messages [][]byte
			for entry := 1; entry <= size.entries; entry++ {
				complete := gossip.Message{RunID: uint64(entry), Sequence: 1, Complete: true, Endpoint: gossip.Endpoint{Instance: "front", Address: "10.0.0.1:1", DataCentre: "a"}}
				for i := range tasksPerEntry {
					complete.Tasks = append(complete.Tasks, task(entry, i))
				}
				messages = append(messages, gossip.Encode(complete))
				for i := range requestsPerSecond {
					t := task(entry, 100+i)
					placed := gossip.Message{RunID: uint64(entry), Sequence: 2, Tasks: []gossip.Task{t}}
					t.Decoding = true
					decoding := gossip.Message{RunID: uint64(entry), Sequence: 3, Tasks: []gossip.Task{t}}
					ended := gossip.Message{RunID: uint64(entry), Sequence: 4, EndedTasks: []placement.TaskID{t.ID}}
					messages = append(messages, gossip.Encode(placed), gossip.Encode(decoding), gossip.Encode(ended))
				}
			}
			b.ReportAllocs()
			for b.Loop() {
				for _, data := range messages {
					m, err := gossip.Decode(data)
					if err != nil {
						b.Fatal(err)
					}
					state.Apply(m)
				}
			}
		})
	}
}
