package claim_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/attempt"
	"github.com/oleanderspool/oleanderspool/internal/claim"
)

// numberedClaims returns n claims of different keys, numbered from first on.
// Their names are as long as those that entries and callers make.
func numberedClaims(first, n int) []claim.Claim {
	claims := make([]claim.Claim, n)
	for i := range claims {
		number := first + i
		claims[i] = claim.Claim{
			Key: claim.Key{
				Account: oleanderspool.ClientAccountID(fmt.Sprintf("account-%05d", number%20_000)),
				Key:     oleanderspool.IdempotencyKey(fmt.Sprintf("7f3b2a10-94c1-4e1d-8d5a-%012d", number)),
			},
			Fingerprint: oleanderspool.Fingerprint(number),
			Request:     oleanderspool.RequestID(fmt.Sprintf("r-%018x", number)),
			Attempt:     attempt.NewID(attempt.ClassKeyed, 86_400_000, fmt.Sprintf("%018x", number)),
			Instance:    oleanderspool.InstanceID(fmt.Sprintf("services-%05d", number%300)),
			Incarnation: oleanderspool.Incarnation(fmt.Sprintf("%016x", number%300)),
		}
	}
	return claims
}

var claimLimits = claim.Limits{KeyLifetime: 6 * oleanderspool.Hour, MaxClaims: 1_000_000}

// BenchmarkRecord measures the encoding and the replay of a record, by the number
// of claims in it.
func BenchmarkRecord(b *testing.B) {
	for _, n := range []int{1, 20, 200, 2000} {
		b.Run(fmt.Sprintf("claims=%d", n), func(b *testing.B) {
			claims := numberedClaims(0, n)
			b.ReportAllocs()
			bytes := 0
			for b.Loop() {
				data, err := claim.Encode(claim.Record{Claims: claims})
				if err != nil {
					b.Fatal(err)
				}
				bytes = len(data)
				claim.NewState(claimLimits).Apply(oleanderspool.Record{Offset: 1, Data: data}, 0)
			}
			b.ReportMetric(float64(bytes)/float64(n), "B/claim")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/claim")
		})
	}
}

// BenchmarkStateMemory measures the memory of the replayed state.
func BenchmarkStateMemory(b *testing.B) {
	for _, n := range []int{200, 2000, 20_000, 200_000} {
		b.Run(fmt.Sprintf("claims=%d", n), func(b *testing.B) {
			for b.Loop() {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				state := replayedState(n)
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "held-B/claim")
				runtime.KeepAlive(state)
			}
		})
	}
}

func replayedState(n int) *claim.State {
	const batch = 200
	state := claim.NewState(claimLimits)
	for first := 0; first < n; first += batch {
		data, err := claim.Encode(claim.Record{Claims: numberedClaims(first, batch)})
		if err != nil {
			panic(err)
		}
		state.Apply(oleanderspool.Record{Offset: oleanderspool.Offset(first/batch + 1), Data: data}, 0)
	}
	return state
}
