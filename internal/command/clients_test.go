package command

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	"github.com/oleanderspool/oleanderspool/platform/platformtest"
)

// The limits of the instance in these tests are below those of the smallest one, so
// that a small crowd is enough. reservedFiles is what the platform reserves.
const (
	crowdMemoryMb       = 72
	crowdDescriptors    = 500
	reservedFiles       = 200
	crowdBody           = 1 << 20 // largest body that the configuration allows
	crowdHeader         = 16 << 10
	crowdConnections    = 400
	ordinaryBody        = 20 << 10
	smallestMemoryMb    = 136 // of the smallest instance
	smallestDescriptors = 2870
	smallestBody        = 4 << 20
	smallestCrowd       = 1000
	crowdSettle         = 4 * time.Second // time for which a crowd sends before it is measured
	crowdReconnect      = 100 * time.Millisecond
	crowdPath           = "/lookup/crowd"
	unroutedPath        = "/nowhere"
	clientReceiveBytes  = 4 << 10
)

// crowdServer is an entry with the store and the backend servers that it uses.
type crowdServer struct {
	instance platformtest.Instance
	session  *gexec.Session
}

func startCrowdServer(behaviour platformtest.Behaviour, memoryMb, descriptors, maxBody int) *crowdServer {
	store := platformtest.NewStore(10)
	DeferCleanup(store.Close)
	for i := range 4 {
		for _, service := range []string{"llm", "app"} {
			r := platformtest.NewRunner(store, fmt.Sprintf("%s-%d", service, i), service)
			DeferCleanup(r.Close)
			r.SetBehaviour(behaviour)
		}
	}
	store.Configure(platformtest.Configuration{
		Routes: []platformtest.Route{
			{Name: "ask", Host: "h", Prefix: "/ask/", Kind: platformtest.KindStream, Service: "llm", TimeoutMs: 20000, TTFTGoalMs: 5000, Attempts: 2, Resumable: true},
			{Name: "lookup", Host: "h", Prefix: "/lookup/", Kind: platformtest.KindIdempotent, Service: "app", TimeoutMs: 20000, TTFTGoalMs: 5000, Attempts: 2},
		},
		Engines: []string{"llm"}, Services: []string{"app"}, MaxBodyBytes: maxBody,
	})
	s := &crowdServer{instance: platformtest.Instance{
		Name: "front-1", Listen: freeAddress(), Ready: freeAddress(), Control: freeAddress(), Peer: freeAddress(),
		MemoryMb: memoryMb, MaxDescriptors: descriptors,
	}}
	variable, err := store.WriteSettings(GinkgoT().TempDir(), s.instance)
	Expect(err).NotTo(HaveOccurred())
	command := exec.Command(binary, "forward", "--log-level", "warn")
	command.Env = append(os.Environ(), variable)
	s.session, err = gexec.Start(command, GinkgoWriter, GinkgoWriter)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { s.session.Kill().Wait(startBound) })
	Eventually(func() int { return httpStatus(s.instance.Ready, "/") }, startBound, 20*time.Millisecond).Should(Equal(http.StatusOK))
	Eventually(s.ordinary, startBound, 20*time.Millisecond).Should(Equal(http.StatusOK))
	return s
}

// ordinary sends one ordinary request on a new connection and returns its status, or 0
// without an answer.
func (s *crowdServer) ordinary() int {
	r, err := http.NewRequest(http.MethodPost, "http://"+s.instance.Listen+"/lookup/ordinary", bytes.NewReader(make([]byte, ordinaryBody)))
	Expect(err).NotTo(HaveOccurred())
	r.Host, r.Header, r.Close = "h", platformtest.CallerHeader{ID: "ordinary"}.Encode(), true
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: startBound}
	response, err := client.Do(r)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

func (s *crowdServer) pid() int { return s.session.Command.Process.Pid }

func (s *crowdServer) descriptors() int {
	files, err := os.ReadDir(filepath.Join("/proc", strconv.Itoa(s.pid()), "fd"))
	if err != nil {
		return 0 // the process has ended, which is checked by itself
	}
	return len(files)
}

// peakMemory returns the peak of the resident memory in bytes.
func (s *crowdServer) peakMemory() int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", s.pid()))
	Expect(err).NotTo(HaveOccurred())
	peak := regexp.MustCompile(`VmHWM:\s+(\d+) kB`).FindSubmatch(status)
	Expect(peak).NotTo(BeNil())
	kilobytes, err := strconv.Atoi(string(peak[1]))
	Expect(err).NotTo(HaveOccurred())
	return kilobytes << 10
}

// unread returns the bytes that the kernel has received for the process at its
// listening addresses and that the process has not read.
func (s *crowdServer) unread() int {
	table, err := os.ReadFile("/proc/net/tcp")
	Expect(err).NotTo(HaveOccurred())
	local := make(map[string]bool)
	for _, address := range []string{s.instance.Listen, s.instance.Ready} {
		a, err := net.ResolveTCPAddr("tcp4", address)
		Expect(err).NotTo(HaveOccurred())
		ip := a.IP.To4()
		local[fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], a.Port)] = true
	}
	sum := 0
	for line := range strings.Lines(string(table)) {
		fields := strings.Fields(line)
		if len(fields) < 5 || !local[fields[1]] || fields[3] != "01" { // established
			continue
		}
		_, received, _ := strings.Cut(fields[4], ":")
		n, err := strconv.ParseInt(received, 16, 64)
		Expect(err).NotTo(HaveOccurred())
		sum += int(n)
	}
	return sum
}

// client is one connection of a crowd. It returns when the server closes the connection
// or stop is closed.
type client func(conn net.Conn, stop <-chan struct{})

// crowd is a number of clients that reconnect when their connection is closed.
type crowd struct {
	stop     chan struct{}
	done     sync.WaitGroup
	accepted atomic.Int64
}

func startCrowd(address string, clients int, behave client) *crowd {
	c := &crowd{stop: make(chan struct{})}
	for range clients {
		c.done.Go(func() {
			for {
				c.connect(address, behave)
				select {
				case <-c.stop:
					return
				case <-time.After(crowdReconnect):
				}
			}
		})
	}
	return c
}

func (c *crowd) connect(address string, behave client) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	defer conn.Close()
	_ = conn.(*net.TCPConn).SetReadBuffer(clientReceiveBytes)
	c.accepted.Add(1)
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		select {
		case <-c.stop:
			conn.Close()
		case <-ended:
		}
	}()
	behave(conn, c.stop)
}

func (c *crowd) end() {
	close(c.stop)
	c.done.Wait()
}

// awaitClose reads until the server closes the connection.
func awaitClose(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) }

// sendAll returns a client that sends a text at once and waits.
func sendAll(text string) client {
	return func(conn net.Conn, _ <-chan struct{}) {
		if _, err := io.WriteString(conn, text); err == nil {
			awaitClose(conn)
		}
	}
}

// sendShared is sendAll of a text that all clients share, so that large ones do not
// exhaust the processor time and the memory of the test.
func sendShared(text string) client {
	block := []byte(text)
	return func(conn net.Conn, _ <-chan struct{}) {
		if _, err := conn.Write(block); err == nil {
			awaitClose(conn)
		}
	}
}

// sendSlowly returns a client that sends a text at once and then a repeated text
// after each pause.
func sendSlowly(text, repeated string, pause time.Duration) client {
	return func(conn net.Conn, stop <-chan struct{}) {
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
		for {
			select {
			case <-stop:
				return
			case <-time.After(pause):
			}
			if _, err := io.WriteString(conn, repeated); err != nil {
				return
			}
		}
	}
}

// sendWithoutReading returns a client that sends a text again and again and reads
// nothing.
func sendWithoutReading(text string) client {
	block := strings.Repeat(text, 1+(32<<10)/len(text))
	return func(conn net.Conn, _ <-chan struct{}) {
		for {
			if _, err := io.WriteString(conn, block); err != nil {
				return
			}
		}
	}
}

// readNothing returns a client that sends a text and does not read the answer.
func readNothing(text string) client {
	return func(conn net.Conn, stop <-chan struct{}) {
		if _, err := io.WriteString(conn, text); err == nil {
			<-stop
		}
	}
}

// readSlowly returns a client that sends a text and reads a few bytes now and then.
func readSlowly(text string) client {
	return func(conn net.Conn, stop <-chan struct{}) {
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
		for part := make([]byte, 16); ; {
			if _, err := conn.Read(part); err != nil {
				return
			}
			select {
			case <-stop:
				return
			case <-time.After(crowdReconnect):
			}
		}
	}
}

// head returns the head of a request without the blank line that ends it.
func head(path, fields string) string {
	var lines strings.Builder
	err := platformtest.CallerHeader{ID: "crowd", PromptTokens: 100}.Encode().Write(&lines)
	Expect(err).NotTo(HaveOccurred())
	return "POST " + path + " HTTP/1.1\r\nHost: h\r\n" + lines.String() + fields
}

// unfinishedBody is a request whose body of legal size lacks its last bytes.
func unfinishedBody(path string, size int) string {
	return head(path, fmt.Sprintf("Content-Length: %d\r\n\r\n", size)) + strings.Repeat("a", size-2)
}

// unfinishedChunks is the same in chunks.
func unfinishedChunks(path string, size, chunk int) string {
	part := fmt.Sprintf("%x\r\n%s\r\n", chunk, strings.Repeat("a", chunk))
	return head(path, "Transfer-Encoding: chunked\r\n\r\n") + strings.Repeat(part, size/chunk)
}

// portions returns a client that sends a body in small portions and stops short of
// its end.
func portions(path string, size, portion int) client {
	return func(conn net.Conn, _ <-chan struct{}) {
		if _, err := io.WriteString(conn, head(path, fmt.Sprintf("Content-Length: %d\r\n\r\n", size))); err != nil {
			return
		}
		part := strings.Repeat("a", portion)
		for range size/portion - 1 {
			if _, err := io.WriteString(conn, part); err != nil {
				return
			}
		}
		awaitClose(conn)
	}
}

// shortFields returns header fields of a few bytes each with different names.
func shortFields(bytes int) string {
	var b strings.Builder
	for i := 0; b.Len() < bytes; i++ {
		b.WriteString(strconv.FormatInt(int64(i), 36))
		b.WriteString(":\n")
	}
	return b.String()
}

// largeAnswer answers plain requests with more than the sockets hold, and streams with
// many large events. Ordinary requests get a short answer.
func largeAnswer(r *platformtest.Runner, w http.ResponseWriter, q *http.Request) bool {
	if platformtest.AnswerRequestID(q.Header) == "ordinary" {
		return false
	}
	r.Sign(w, q)
	start, block := "", strings.Repeat("a", 64<<10)
	if strings.HasPrefix(q.URL.Path, "/ask/") {
		w.Header().Set("Content-Type", "text/event-stream")
		start, block = "id: 1\n", "data: "+block+"\n\n"
	}
	for range 256 {
		if _, err := io.WriteString(w, start+block); err != nil {
			return true
		}
	}
	return true
}

var _ = Describe("The smallest entry", Serial, func() {
	// Guards against limits that a single request inside those of the configuration meets.
	for _, length := range []int64{4 << 20, -1} {
		It(fmt.Sprintf("serves one request of the largest size, length %d", length), func() {
			const body = smallestBody
			s := startCrowdServer(nil, smallestMemoryMb, crowdDescriptors, body)
			r, err := http.NewRequest(http.MethodPost, "http://"+s.instance.Listen+"/lookup/ordinary", bytes.NewReader(make([]byte, body)))
			Expect(err).NotTo(HaveOccurred())
			r.Host, r.ContentLength, r.Header = "h", length, platformtest.CallerHeader{ID: "ordinary"}.Encode()
			for i := range 1800 {
				r.Header["X"+strconv.FormatInt(int64(i), 36)] = []string{""}
			}
			response, err := http.DefaultClient.Do(r)
			Expect(err).NotTo(HaveOccurred())
			defer response.Body.Close()
			Expect(response.StatusCode).To(Equal(http.StatusOK))
			Expect(s.peakMemory() >> 20).To(BeNumerically("<", smallestMemoryMb))
		})
	}
})

var _ = Describe("An entry with clients that misbehave", Serial, func() {
	legal := shortFields(crowdHeader - 512)
	// Each case guards against a crowd that exhausts the memory or the descriptors of an
	// instance, so that the process ends, or that keeps ordinary callers out.
	cases := []struct {
		name    string
		ready   bool // at the readiness address
		clients int
		behave  client
	}{
		{"whole bodies that lack their end", false, crowdConnections, sendAll(unfinishedBody(crowdPath, crowdBody))},
		{"small bodies that lack their end", false, crowdConnections, sendAll(unfinishedBody(crowdPath, 16<<10))},
		{"bodies in small portions that lack their end", false, crowdConnections, portions(crowdPath, crowdBody, 1<<10)},
		{"chunked bodies that lack their end", false, crowdConnections, sendAll(unfinishedChunks(crowdPath, crowdBody-1, 4<<10))},
		{"fewer bodies than connections are allowed", false, 60, sendAll(unfinishedBody(crowdPath, crowdBody))},
		{"bodies over the limit with a length", false, crowdConnections, sendWithoutReading(unfinishedBody(crowdPath, 64<<20)[:1<<20])},
		{"bodies over the limit without a length", false, crowdConnections, sendAll(unfinishedChunks(crowdPath, 8*crowdBody, 4<<10))},
		{"many short header fields", false, crowdConnections, sendWithoutReading(head(crowdPath, legal) + "Content-Length: 0\r\n\r\n")},
		{"many short header fields without an end", false, crowdConnections, sendAll(head(crowdPath, legal))},
		{"many short header fields without an end on few connections", false, 100, sendAll(head(crowdPath, legal))},
		{"many short header fields on few connections", false, 100, sendWithoutReading(head(crowdPath, legal) + "Content-Length: 0\r\n\r\n")},
		{"an unfinished header behind a complete request", false, 100, sendAll("GET " + unroutedPath + " HTTP/1.1\r\nHost: h\r\n\r\n" + head(crowdPath, shortFields(3<<10)))},
		{"requests without reading the answers", false, crowdConnections, sendWithoutReading("GET " + crowdPath + " HTTP/1.1\r\nHost: h\r\n\r\n")},
		{"requests without reading the answers on few connections", false, 40, sendWithoutReading("GET " + crowdPath + " HTTP/1.1\r\nHost: h\r\n\r\n")},
		{"slow headers", false, crowdConnections, sendSlowly(head(crowdPath, ""), "a:\r\n", crowdReconnect)},
		{"slow bodies", false, crowdConnections, sendSlowly(unfinishedBody(crowdPath, 32<<10)[:16<<10], "a", crowdReconnect)},
		{"answers that nobody reads", false, crowdConnections, readNothing("GET " + crowdPath + " HTTP/1.1\r\nHost: h\r\n\r\n")},
		{"answers that are read slowly", false, crowdConnections, readSlowly("GET " + crowdPath + " HTTP/1.1\r\nHost: h\r\n\r\n")},
		{"streams that nobody reads", false, crowdConnections, readNothing(head("/ask/crowd", "Content-Length: 0\r\n\r\n"))},
		{"streams that are read slowly", false, crowdConnections, readSlowly(head("/ask/crowd", "Content-Length: 0\r\n\r\n"))},
		{"connections without a byte", false, crowdConnections, sendAll("")},

		{"bodies at a path without a route", false, crowdConnections, sendAll(unfinishedBody(unroutedPath, crowdBody))},
		{"header fields at a path without a route", false, crowdConnections, sendWithoutReading(head(unroutedPath, legal) + "Content-Length: 0\r\n\r\n")},
		{"slow bodies at a path without a route", false, crowdConnections, sendSlowly(unfinishedBody(unroutedPath, 32<<10)[:16<<10], "a", crowdReconnect)},
		{"bodies at the readiness address", true, crowdConnections, sendAll(unfinishedBody("/", crowdBody))},
		{"header fields at the readiness address", true, crowdConnections, sendAll(head("/", legal))},
		{"slow bodies at the readiness address", true, crowdConnections, sendSlowly(unfinishedBody("/", 32<<10)[:16<<10], "a", crowdReconnect)},
		{"connections without a byte at the readiness address", true, crowdConnections, sendAll("")},
	}
	for _, c := range cases {
		It("stays within its limits and serves others: "+c.name, func() {
			s := startCrowdServer(largeAnswer, crowdMemoryMb, crowdDescriptors, crowdBody)
			address := s.instance.Listen
			if c.ready {
				address = s.instance.Ready
			}
			s.withstands(c.name, crowdMemoryMb, crowdDescriptors, startCrowd(address, c.clients, c.behave))
		})
	}

	// Guards against limits that hold on the instance of these tests only.
	It("stays within its limits and serves others: whole bodies at the smallest instance", func() {
		s := startCrowdServer(largeAnswer, smallestMemoryMb, smallestDescriptors, smallestBody)
		s.withstands("smallest instance", smallestMemoryMb, smallestDescriptors,
			startCrowd(s.instance.Listen, smallestCrowd, sendShared(unfinishedBody(crowdPath, smallestBody))))
	})

	// Guards against budgets that each hold alone and together exceed the memory.
	It("stays within its limits and serves others: mixed kinds", func() {
		s := startCrowdServer(largeAnswer, crowdMemoryMb, crowdDescriptors, crowdBody)
		const each = crowdConnections / 8
		crowds := []*crowd{
			startCrowd(s.instance.Ready, each, sendAll(unfinishedBody("/", crowdBody))),
			startCrowd(s.instance.Listen, each, readNothing("GET "+crowdPath+" HTTP/1.1\r\nHost: h\r\n\r\n")),
		}
		for _, path := range []string{crowdPath, unroutedPath} {
			for _, behave := range []client{
				sendAll(unfinishedBody(path, crowdBody)),
				sendWithoutReading(head(path, legal) + "Content-Length: 0\r\n\r\n"),
				sendWithoutReading("GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n"),
			} {
				crowds = append(crowds, startCrowd(s.instance.Listen, each, behave))
			}
		}
		s.withstands("mixed kinds", crowdMemoryMb, crowdDescriptors, crowds...)
	})
})

// withstands ends crowds after a while and checks that the instance has kept its bounds
// and has served others.
func (s *crowdServer) withstands(name string, memoryMb, limit int, crowds ...*crowd) {
	ended := sync.OnceFunc(func() {
		for _, c := range crowds {
			c.end()
		}
	})
	DeferCleanup(ended)
	descriptors, unread := 0, 0
	sample := func() {
		descriptors, unread = max(descriptors, s.descriptors()), max(unread, s.unread())
	}
	for start := time.Now(); time.Since(start) < crowdSettle; time.Sleep(50 * time.Millisecond) {
		sample()
	}
	during := 0
	for tries := 0; tries < 20 && during != http.StatusOK; tries++ {
		sample()
		during = s.ordinary()
	}
	readyDuring := httpStatus(s.instance.Ready, "/")
	connected := int64(0)
	for _, c := range crowds {
		connected += c.accepted.Load()
	}
	ended()
	Expect(s.session.ExitCode()).To(Equal(-1), "the process runs")
	peak := s.peakMemory()
	AddReportEntry("figures: "+name, fmt.Sprintf("peak %d MiB, unread %d KiB, descriptors %d, connections made %d, ordinary %d, ready %d",
		peak>>20, unread>>10, descriptors, connected, during, readyDuring), ReportEntryVisibilityAlways)
	Eventually(s.ordinary, startBound, 100*time.Millisecond).Should(Equal(http.StatusOK), "an ordinary request afterwards")
	Expect((peak+unread)>>20).To(BeNumerically("<", memoryMb), "memory in MiB")
	Expect(descriptors).To(BeNumerically("<=", limit-reservedFiles), "descriptors")
	Expect(during).To(Equal(http.StatusOK), "an ordinary request while the crowd is connected")
	Expect(readyDuring).To(Equal(http.StatusOK), "a readiness probe while the crowd is connected")
}
