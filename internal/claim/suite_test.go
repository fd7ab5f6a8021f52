package claim_test

import (
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/claim"
	"github.com/oleanderspool/oleanderspool/internal/golden"
)

func TestClaim(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "claim")
}

func expectGolden(name string, lines []string) {
	GinkgoHelper()
	golden.Match(filepath.Join("testdata", name+".golden"), strings.Join(lines, "\n")+"\n")
}

var limits = claim.Limits{KeyLifetime: 60000, MaxClaims: 50}

// newClaim returns a claim of a key, made for a request of the same name as
// the attempt.
func newClaim(key, attempt, supersedes string) claim.Claim {
	return claim.Claim{
		Key:         claim.Key{Account: "acme", Key: oleanderspool.IdempotencyKey(key)},
		Fingerprint: 0xfedcba9876543210,
		Request:     oleanderspool.RequestID("r-" + attempt),
		Attempt:     oleanderspool.AttemptID(attempt),
		Instance:    "i1",
		Incarnation: "n1",
		Supersedes:  oleanderspool.AttemptID(supersedes),
	}
}

func encode(before oleanderspool.Offset, claims ...claim.Claim) []byte {
	GinkgoHelper()
	data, err := claim.Encode(claim.Record{ExpiredBefore: before, Claims: claims})
	Expect(err).NotTo(HaveOccurred())
	return data
}
