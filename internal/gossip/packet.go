package gossip

import (
	"math"

	"google.golang.org/protobuf/encoding/protowire"

	"github.com/oleanderspool/oleanderspool"
)

// kind says on which way a datagram is and so where its messages go next.
type kind uint64

const (
	// kindHello: from an entry to an address at which it knows no entry. The receiver
	// replies with the members that it knows.
	kindHello kind = iota + 1
	// kindSubscription: from an entry to its relay. The relay passes the messages of
	// others on to it for a while.
	kindSubscription
	// kindRelay: between relays.
	kindRelay
	// kindForward: from a relay to a subscriber.
	kindForward
	// kindReply: the reply to a hello.
	kindReply
)

// packet is the content of a datagram.
type packet struct {
	sender        uint64 // run ID of the entry that sent the datagram
	kind          kind
	messages      [][]byte // encoded
	members       []listedMember
	confirmations []Confirmation
	// confirmedNext is the offset of the configuration that the confirmations refer
	// to; see [Confirmation].
	confirmedNext oleanderspool.Offset
}

// listedMember is an entry that the sender of a packet knows.
type listedMember struct {
	runID uint64
	Endpoint
	silence oleanderspool.Millis // time since its last message
}

// Confirmation reports that the configuration was read after the message of an
// entry with the given SentAt had arrived at its relay. If the entry has all
// records before Next, its configuration is confirmed as of that instant.
type Confirmation struct {
	runID   uint64
	AskedAt oleanderspool.Millis // on the clock of the asking entry
	Next    oleanderspool.Offset
}

// Field numbers of a packet.
const (
	fieldPacketSender protowire.Number = iota + 1
	fieldPacketKind
	fieldPacketMessage
	fieldPacketMember
	fieldPacketConfirmation
	fieldPacketConfirmedNext
)

// Field numbers of a listed member and of a confirmation.
const (
	fieldMemberRunID protowire.Number = iota + 1
	fieldMemberDuration
	fieldMemberEntry
)

func encodePacket(p packet) []byte {
	var e encoder
	e.fixed(fieldPacketSender, p.sender)
	e.number(fieldPacketKind, uint64(p.kind))
	for _, m := range p.messages {
		e.data = protowire.AppendTag(e.data, fieldPacketMessage, protowire.BytesType)
		e.data = protowire.AppendBytes(e.data, m)
	}
	for _, m := range p.members {
		e.nested(fieldPacketMember, func(e *encoder) {
			e.fixed(fieldMemberRunID, m.runID)
			e.millis(fieldMemberDuration, m.silence)
			e.nested(fieldMemberEntry, func(e *encoder) { encodeEntry(e, m.Endpoint) })
		})
	}
	for _, c := range p.confirmations {
		e.nested(fieldPacketConfirmation, func(e *encoder) {
			e.fixed(fieldMemberRunID, c.runID)
			e.millis(fieldMemberDuration, c.AskedAt)
		})
	}
	e.number(fieldPacketConfirmedNext, uint64(max(0, p.confirmedNext)))
	return e.data
}

// decodePacket decodes a datagram. Its messages refer to data.
func decodePacket(data []byte) (packet, error) {
	var p packet
	err := fields(data, func(n protowire.Number, v value) error {
		switch n {
		case fieldPacketSender:
			p.sender = v.number
		case fieldPacketKind:
			p.kind = kind(v.number)
		case fieldPacketMessage:
			p.messages = append(p.messages, v.bytes)
		case fieldPacketMember:
			m, err := decodeMember(v.bytes)
			p.members = append(p.members, m)
			return err
		case fieldPacketConfirmation:
			c, err := decodeConfirmation(v.bytes)
			p.confirmations = append(p.confirmations, c)
			return err
		case fieldPacketConfirmedNext:
			p.confirmedNext = v.offset()
		}
		return nil
	})
	if err == nil && p.sender == 0 {
		err = oleanderspool.ErrInvalid.New("datagram without a sender")
	}
	for i := range p.confirmations {
		p.confirmations[i].Next = p.confirmedNext
	}
	return p, err
}

func decodeMember(data []byte) (listedMember, error) {
	var m listedMember
	err := fields(data, func(n protowire.Number, v value) error {
		switch n {
		case fieldMemberRunID:
			m.runID = v.number
		case fieldMemberDuration:
			m.silence = v.millis()
		case fieldMemberEntry:
			var err error
			m.Endpoint, err = decodeEntry(v.bytes)
			return err
		}
		return nil
	})
	return m, err
}

func decodeConfirmation(data []byte) (Confirmation, error) {
	var c Confirmation
	err := fields(data, func(n protowire.Number, v value) error {
		switch n {
		case fieldMemberRunID:
			c.runID = v.number
		case fieldMemberDuration:
			c.AskedAt = oleanderspool.Millis(min(v.number, math.MaxInt64))
		}
		return nil
	})
	return c, err
}
