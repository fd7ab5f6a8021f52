package claim_test

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/claim"
)

var update = flag.Bool("update", false, "write the golden files instead of comparing them")

func TestClaim(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "claim")
}

func expectGolden(name string, lines []string) {
	GinkgoHelper()
	path := filepath.Join("testdata", name+".golden")
	got := strings.Join(lines, "\n") + "\n"
	if *update {
		Expect(os.MkdirAll("testdata", 0o755)).To(Succeed())
		Expect(os.WriteFile(path, []byte(got), 0o644)).To(Succeed())
	}
	want, err := os.ReadFile(path)
	Expect(err).NotTo(HaveOccurred())
	Expect(got).To(Equal(string(want)))
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
