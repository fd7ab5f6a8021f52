package observe_test

import (
	"bytes"
	"regexp"
	"strconv"
	"strings"
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
	sizes   []int // of the writes in bytes
}

func (w *blockedWriter) Write(b []byte) (int, error) {
	<-w.unblock
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sizes = append(w.sizes, len(b))
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

	// Guards against a process that does not end while nobody reads its log.
	It("is closed in time while the underlying writer blocks", func() {
		blocked := &blockedWriter{unblock: make(chan struct{})}
		defer close(blocked.unblock)
		w := observe.NewAsyncWriter(blocked)
		_, err := w.Write([]byte("x\n"))
		Expect(err).NotTo(HaveOccurred())
		closed := make(chan struct{})
		go func() {
			w.Close()
			close(closed)
		}()
		Eventually(closed, "3s").Should(BeClosed())
	})

	// Guards against a system call for each line of a busy process, against writes of
	// which another process may write into the middle, and against lost or reordered
	// lines, also long ones.
	It("writes lines that wait together", func() {
		blocked := &blockedWriter{unblock: make(chan struct{})}
		w := observe.NewAsyncWriter(blocked)
		var expected bytes.Buffer
		const lines = 400
		for i := range lines {
			line := strconv.Itoa(i) + strings.Repeat("x", 100) + "\n"
			if i == lines/2 {
				line = strings.Repeat("y", 5000) + "\n"
			}
			expected.WriteString(line)
			_, err := w.Write([]byte(line))
			Expect(err).NotTo(HaveOccurred())
		}
		close(blocked.unblock)
		w.Close()
		Expect(blocked.text.String()).To(Equal(expected.String()))
		Expect(len(blocked.sizes)).To(BeNumerically("<", lines/10))
		for _, size := range blocked.sizes {
			Expect(size).To(Or(BeNumerically("<=", 4096), Equal(5001)))
		}
	})
})
