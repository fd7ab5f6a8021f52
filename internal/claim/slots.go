package claim

import (
	"github.com/oleanderspool/oleanderspool"
)

// place is the agent incarnation that claims name. Claims of one incarnation
// share it, which keeps two strings out of each claim in memory.
type place struct {
	instance    oleanderspool.InstanceID
	incarnation oleanderspool.Incarnation
}

// sharedPlace is a place with the number of slots that refer to it.
type sharedPlace struct {
	place
	slots int
}

// slot is a valid claim in memory. Its text holds account, key, attempt and
// request in one allocation.
type slot struct {
	text          string
	place         *sharedPlace
	fingerprint   oleanderspool.Fingerprint
	offset        oleanderspool.Offset
	accountLength uint16
	keyLength     uint16
	attemptLength uint16
	doubtful      bool
}

func newSlot(c Claim, p *sharedPlace, offset oleanderspool.Offset, doubtful bool) slot {
	return slot{
		text:          string(c.Key.Account) + string(c.Key.Key) + string(c.Attempt) + string(c.Request),
		place:         p,
		fingerprint:   c.Fingerprint,
		offset:        offset,
		accountLength: uint16(len(c.Key.Account)),
		keyLength:     uint16(len(c.Key.Key)),
		attemptLength: uint16(len(c.Attempt)),
		doubtful:      doubtful,
	}
}

// key returns the key of the claim; its strings share the slot's text.
func (s *slot) key() Key {
	end := int(s.accountLength) + int(s.keyLength)
	return Key{
		Account: oleanderspool.ClientAccountID(s.text[:s.accountLength]),
		Key:     oleanderspool.IdempotencyKey(s.text[s.accountLength:end]),
	}
}

func (s *slot) attempt() oleanderspool.AttemptID {
	start := int(s.accountLength) + int(s.keyLength)
	return oleanderspool.AttemptID(s.text[start : start+int(s.attemptLength)])
}

func (s *slot) request() oleanderspool.RequestID {
	start := int(s.accountLength) + int(s.keyLength) + int(s.attemptLength)
	return oleanderspool.RequestID(s.text[start:])
}

// claim returns the claim without Supersedes and BasedOn, which are not kept.
func (s *slot) claim() Claim {
	return Claim{
		Key:         s.key(),
		Fingerprint: s.fingerprint,
		Request:     s.request(),
		Attempt:     s.attempt(),
		Instance:    s.place.instance,
		Incarnation: s.place.incarnation,
	}
}

// slotQueue keeps slots in log order under rising numbers. It grows and
// shrinks by chunks, so that neither needs a copy of all slots.
type slotQueue struct {
	chunks [][]slot
	first  uint64 // number of the oldest slot
	next   uint64 // number of the next slot
}

// chunkSlots is the number of slots in a chunk: 512 slots of 56 bytes are
// allocated at once.
const chunkSlots = 512

func (q *slotQueue) len() int {
	return int(q.next - q.first)
}

func (q *slotQueue) push(s slot) uint64 {
	if q.next%chunkSlots == 0 {
		q.chunks = append(q.chunks, make([]slot, chunkSlots))
	}
	number := q.next
	q.next++
	*q.at(number) = s
	return number
}

// at returns the slot with a number between first and next.
func (q *slotQueue) at(number uint64) *slot {
	chunk := number/chunkSlots - q.first/chunkSlots
	return &q.chunks[chunk][number%chunkSlots]
}

// pop removes the oldest slot.
func (q *slotQueue) pop() {
	*q.at(q.first) = slot{}
	q.first++
	if q.first%chunkSlots == 0 {
		q.chunks[0] = nil
		q.chunks = q.chunks[1:]
	}
}
