package gossip

import "net/netip"

// EncodeRelayed encodes a datagram with which a relay passes a message on.
func EncodeRelayed(sender uint64, m Message) []byte {
	return encodePacket(packet{sender: sender, kind: kindRelay, messages: [][]byte{Encode(m)}})
}

// EncodeForwarded encodes a datagram with which a relay passes messages on to a
// subscriber.
func EncodeForwarded(sender uint64, messages ...Message) []byte {
	p := packet{sender: sender, kind: kindForward}
	for _, m := range messages {
		p.messages = append(p.messages, Encode(m))
	}
	return encodePacket(p)
}

// Handle processes a datagram.
func (n *Node) Handle(from netip.AddrPort, data []byte) {
	n.handle(from, data)
}
