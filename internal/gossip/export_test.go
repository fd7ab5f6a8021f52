package gossip

// EncodeRelayed encodes a datagram with which a relay passes a message on.
func EncodeRelayed(sender uint64, m Message) []byte {
	return encodePacket(packet{sender: sender, kind: kindRelay, messages: [][]byte{Encode(m)}})
}
