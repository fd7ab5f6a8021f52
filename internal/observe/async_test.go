package observe_test

import (
	"bytes"
	"regexp"
	"strconv"
	"sync"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool/internal/observe"
)

func TestObserve(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "observe")
}

// gate is a writer that blocks until it is opened.
type gate struct {
	open chan struct{}
	mu   sync.Mutex
	text bytes.Buffer
}

func (g *gate) Write(b []byte) (int, error) {
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.text.Write(b)
}

var _ = Describe("A log", func() {
	// Guards against a stalled reader of the log that holds up requests, and
	// against lines that vanish without a trace.
	It("drops and counts lines while its reader stalls", func() {
		g := &gate{open: make(chan struct{})}
		w := observe.NewAsyncWriter(g)
		const lines = 5000
		for range lines {
			_, err := w.Write([]byte("x\n"))
			Expect(err).NotTo(HaveOccurred())
		}
		close(g.open)
		w.Close()
		written := bytes.Count(g.text.Bytes(), []byte("x\n"))
		dropped := 0
		for _, report := range regexp.MustCompile(`lines dropped","count":(\d+)`).FindAllStringSubmatch(g.text.String(), -1) {
			n, err := strconv.Atoi(report[1])
			Expect(err).NotTo(HaveOccurred())
			dropped += n
		}
		Expect(dropped).To(BeNumerically(">", 0))
		Expect(written + dropped).To(Equal(lines))
	})
})
