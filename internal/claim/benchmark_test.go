package claim_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/claim"
)

const claimsPerRecord = 100

// benchmarkRecord returns an encoded record of 100 claims of new keys. Names have
// realistic lengths: keys are UUIDs, and the attempts are on 50 agents.
func benchmarkRecord(b *testing.B, offset, before int) []byte {
	r := claim.Record{ExpiredBefore: oleanderspool.Offset(before)}
	for i := range claimsPerRecord {
		n := offset*claimsPerRecord + i
		r.Claims = append(r.Claims, claim.Claim{
			Key:         claim.Key{Account: "account-0123", Key: oleanderspool.IdempotencyKey(fmt.Sprintf("7d444840-9dc0-11d1-b245-%012d", n))},
			Fingerprint: oleanderspool.Fingerprint(n),
			Request:     oleanderspool.RequestID(fmt.Sprintf("entry-3.%012d", n)),
			Attempt:     oleanderspool.AttemptID(fmt.Sprintf("k.123456789.entry-3.%08d", n)),
			Instance:    oleanderspool.InstanceID(fmt.Sprintf("runner-%02d", n%50)),
			Incarnation: "0123456789abcdef",
			BasedOn:     oleanderspool.Offset(offset - 1),
		})
	}
	data, err := claim.Encode(r)
	if err != nil {
		b.Fatal(err)
	}
	return data
}

func heapAlloc() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkApply measures the cost per claim of applying a record, including its
// decoding, at a constant number of unexpired keys: as many expire as are added.
func BenchmarkApply(b *testing.B) {
	for _, keys := range []int{1_000, 10_000, 100_000, 1_000_000} {
		b.Run(fmt.Sprint(keys), func(b *testing.B) {
			before := heapAlloc()
			s := claim.NewState(claim.Limits{KeyLifetime: oleanderspool.Hour, MaxClaims: 2 * keys})
			offset := 1
			for ; offset <= keys/claimsPerRecord; offset++ {
				s.Apply(oleanderspool.Record{Offset: oleanderspool.Offset(offset), Data: benchmarkRecord(b, offset, 0)}, 0)
			}
			heapGrowth := heapAlloc() - before
			records := make([][]byte, min(b.N/claimsPerRecord+1, 1000))
			b.ReportAllocs()
			b.ResetTimer()
			for i := 0; i < b.N; i += claimsPerRecord {
				if n := i / claimsPerRecord; n%len(records) == 0 {
					b.StopTimer()
					for j := range records {
						records[j] = benchmarkRecord(b, offset+j, offset+j-keys/claimsPerRecord+1)
					}
					b.StartTimer()
				}
				s.Apply(oleanderspool.Record{Offset: oleanderspool.Offset(offset), Data: records[i/claimsPerRecord%len(records)]}, 0)
				offset++
			}
			b.StopTimer()
			if s.Claims() != keys {
				b.Fatalf("the state holds %d claims", s.Claims())
			}
			b.ReportMetric(float64(heapGrowth)/float64(keys), "B/key")
		})
	}
}

// BenchmarkDecode measures the decoding alone, which [BenchmarkApply] includes.
func BenchmarkDecode(b *testing.B) {
	data := benchmarkRecord(b, 1, 0)
	b.ReportAllocs()
	for i := 0; i < b.N; i += claimsPerRecord {
		if _, err := claim.Decode(data); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(data))/claimsPerRecord, "wire_B/claim")
}
