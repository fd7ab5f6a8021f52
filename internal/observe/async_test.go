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

// blockedWriter is a writer that blocks until unblock is closed.
type blockedWriter struct {
	unblock chan struct{}
	mu      sync.Mutex
	text    bytes.Buffer
}

func (w *blockedWriter) Write(b []byte) (int, error) {
	<-w.unblock
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(b)
}

var _ = Describe("AsyncWriter", func() {
	// Guards against a stalled reader of the log that blocks requests, and against
	// lines that are dropped without being counted.
	It("drops and counts lines while the underlying writer blocks", func() {
		blocked := &blockedWriter{unblock: make(chan struct{})}
		w := observe.NewAsyncWriter(blocked)
		const lines = 5000
		for range lines {
			_, err := w.Write([]byte("x\n"))
			Expect(err).NotTo(HaveOccurred())
		}
		close(blocked.unblock)
		w.Close()
		written := bytes.Count(blocked.text.Bytes(), []byte("x\n"))
		dropped := 0
		for _, report := range regexp.MustCompile(`lines dropped","count":(\d+)`).FindAllStringSubmatch(blocked.text.String(), -1) {
			n, err := strconv.Atoi(report[1])
			Expect(err).NotTo(HaveOccurred())
			dropped += n
		}
		Expect(dropped).To(BeNumerically(">", 0))
		Expect(written + dropped).To(Equal(lines))
	})
})
