package observe_test

import (
	"bytes"
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
		dropped := w.Dropped()
		Expect(dropped).To(BeNumerically(">", 0))
		close(g.open)
		w.Close()
		written := bytes.Count(g.text.Bytes(), []byte("x\n"))
		Expect(int64(written) + dropped).To(Equal(int64(lines)))
		Expect(g.text.String()).To(ContainSubstring("log lines dropped"))
	})
})
