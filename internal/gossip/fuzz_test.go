package gossip

import (
	"net/netip"
	"testing"
)

// FuzzDatagram guards against a datagram, which any sender can send, that ends the
// process, states numbers with which placement cannot calculate, or confuses the
// roster.
func FuzzDatagram(f *testing.F) {
	message := Encode(Message{RunID: 7, Sequence: 8, Complete: true, Endpoint: Endpoint{Address: "127.0.0.1:9", DataCentre: "a", Capacity: 144}})
	for k := kind(0); k <= kindReply+1; k++ {
		f.Add(encodePacket(packet{
			sender: 7, kind: k, messages: [][]byte{message, message[:len(message)-1]}, confirmedNext: 5,
			members: []listedMember{{runID: 9, Endpoint: Endpoint{Address: "127.0.0.1:10"}}, {runID: 7}}, confirmations: []Confirmation{{runID: 1, AskedAt: 3}},
		}))
	}
	from := netip.MustParseAddrPort("127.0.0.1:9")
	f.Fuzz(func(t *testing.T, data []byte) {
		r := testRoster(1, 12)
		p, err := decodePacket(data)
		if err != nil {
			return
		}
		for _, encoded := range p.messages {
			m, err := Decode(encoded)
			if err != nil {
				continue
			}
			for _, task := range m.Tasks {
				if task.MemoryTokens < 0 || task.ContextTokens < 0 || task.OutputTokens < 0 || !(task.PrefillMillis >= 0) || task.Age < 0 {
					t.Errorf("task %+v", task)
				}
			}
			e, _ := r.observe(m, from, 100)
			e.arrive(m.Sequence)
			e.clocks.delay(m.SentAt, 100)
		}
		r.list(p.members, 100)
		r.checkLinks(200)
		r.linkedRelays(200)
		r.expire(10_000)
		if len(r.relays) == 0 {
			t.Error("no relay is left")
		}
	})
}
