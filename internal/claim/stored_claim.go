package claim

import (
	"github.com/oleanderspool/oleanderspool"
)

// agentIncarnation is the agent incarnation that a claim names. The claims of
// one incarnation share it, which saves two strings per claim in memory.
type agentIncarnation struct {
	instance    oleanderspool.InstanceID
	incarnation oleanderspool.Incarnation
}

// sharedIncarnation is an agent incarnation with the number of stored claims
// that refer to it.
type sharedIncarnation struct {
	agentIncarnation
	references int
}

// storedClaim is a valid claim in memory. Its text holds account, key, attempt
// and request in one allocation.
type storedClaim struct {
	text          string
	agent         *sharedIncarnation
	fingerprint   oleanderspool.Fingerprint
	offset        oleanderspool.Offset
	accountLength uint16
	keyLength     uint16
	attemptLength uint16
	doubtful      bool
}

func newStoredClaim(c Claim, a *sharedIncarnation, offset oleanderspool.Offset, doubtful bool) storedClaim {
	return storedClaim{
		text:          string(c.Key.Account) + string(c.Key.Key) + string(c.Attempt) + string(c.Request),
		agent:         a,
		fingerprint:   c.Fingerprint,
		offset:        offset,
		accountLength: uint16(len(c.Key.Account)),
		keyLength:     uint16(len(c.Key.Key)),
		attemptLength: uint16(len(c.Attempt)),
		doubtful:      doubtful,
	}
}

// key returns the key of the claim. Its strings share the memory of the text.
func (s *storedClaim) key() Key {
	end := int(s.accountLength) + int(s.keyLength)
	return Key{
		Account: oleanderspool.ClientAccountID(s.text[:s.accountLength]),
		Key:     oleanderspool.IdempotencyKey(s.text[s.accountLength:end]),
	}
}

func (s *storedClaim) attempt() oleanderspool.AttemptID {
	start := int(s.accountLength) + int(s.keyLength)
	return oleanderspool.AttemptID(s.text[start : start+int(s.attemptLength)])
}

func (s *storedClaim) request() oleanderspool.RequestID {
	start := int(s.accountLength) + int(s.keyLength) + int(s.attemptLength)
	return oleanderspool.RequestID(s.text[start:])
}

// toClaim returns the claim without Supersedes and BasedOn, which are not kept.
func (s *storedClaim) toClaim() Claim {
	return Claim{
		Key:         s.key(),
		Fingerprint: s.fingerprint,
		Request:     s.request(),
		Attempt:     s.attempt(),
		Instance:    s.agent.instance,
		Incarnation: s.agent.incarnation,
	}
}

// claimQueue keeps claims in log order and numbers them consecutively. It grows
// and shrinks by chunks, so that neither copies all claims.
type claimQueue struct {
	chunks [][]storedClaim
	first  uint64 // number of the oldest claim
	next   uint64 // number of the next claim
}

// claimsPerChunk is the number of claims in a chunk: 512 claims of 48 bytes
// (24 KiB) are allocated at once.
const claimsPerChunk = 512

func (q *claimQueue) len() int {
	return int(q.next - q.first)
}

func (q *claimQueue) push(s storedClaim) uint64 {
	if q.next%claimsPerChunk == 0 {
		q.chunks = append(q.chunks, make([]storedClaim, claimsPerChunk))
	}
	number := q.next
	q.next++
	*q.at(number) = s
	return number
}

// at returns the claim with a number from first up to, but not including, next.
func (q *claimQueue) at(number uint64) *storedClaim {
	chunk := number/claimsPerChunk - q.first/claimsPerChunk
	return &q.chunks[chunk][number%claimsPerChunk]
}

// pop removes the oldest claim.
func (q *claimQueue) pop() {
	*q.at(q.first) = storedClaim{}
	q.first++
	if q.first%claimsPerChunk == 0 {
		q.chunks[0] = nil
		q.chunks = q.chunks[1:]
	}
}
