package command

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"
	"github.com/onsi/gomega/gexec"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/platform/platformtest"
)

var _ = Describe("An entry on the platform", func() {
	const (
		host     = "pegs.example"
		memoryMb = 184 // of the instance
	)
	var (
		store    *platformtest.Store
		runner   *platformtest.Runner
		instance platformtest.Instance
		session  *gexec.Session
	)

	BeforeEach(func() {
		store = platformtest.NewStore(10)
		DeferCleanup(store.Close)
		runner = platformtest.NewRunner(store, "runner-1", "llm")
		DeferCleanup(runner.Close)
		store.Configure(platformtest.Configuration{
			Routes: []platformtest.Route{
				{Name: "ask", Host: host, Prefix: "/ask/", Kind: platformtest.KindStream, Service: "llm", TimeoutMs: 6000, TTFTGoalMs: 300, Attempts: 2, Resumable: true},
				{Name: "lookup", Host: host, Prefix: "/lookup/", Kind: platformtest.KindIdempotent, Service: "app", TimeoutMs: 6000, TTFTGoalMs: 300, Attempts: 2},
			},
			Engines:  []string{"llm"},
			Services: []string{"app"},
			Accounts: map[string][]string{"crew": {"crew-key"}},
		})
		instance = platformtest.Instance{Name: "front-1", Listen: freeAddress(), Ready: freeAddress(), Control: freeAddress(), Peer: freeAddress(), MemoryMb: memoryMb}
		variable, err := store.WriteSettings(GinkgoT().TempDir(), instance)
		Expect(err).NotTo(HaveOccurred())
		command := exec.Command(binary, "forward")
		command.Env = append(os.Environ(), variable)
		session, err = gexec.Start(command, GinkgoWriter, GinkgoWriter)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { session.Kill().Wait(startBound) })
		Eventually(func() int { return httpStatus(instance.Ready, "/") }, startBound, 20*time.Millisecond).Should(Equal(http.StatusOK))
	})

	askAt := func(path string) (string, error) {
		r, err := http.NewRequest(http.MethodPost, "http://"+instance.Listen+path, nil)
		Expect(err).NotTo(HaveOccurred())
		r.Host, r.Header = host, platformtest.CallerHeader{ID: "request-1", APIKey: "crew-key", PromptTokens: 1000}.Encode()
		response, err := http.DefaultClient.Do(r)
		if err != nil {
			return "", err
		}
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		return string(body), err
	}
	ask := func() (string, error) { return askAt("/ask/1") }

	// Guards against a stop that cuts a stream, a process that does not end by
	// itself, and a request that leaves no trace in the log.
	It("serves, explains what it did, and stops without cutting a stream", func() {
		runner.SetBehaviour(platformtest.Stream(20, 0, 50*time.Millisecond))
		type result struct {
			body string
			err  error
		}
		answer := make(chan result, 1)
		go func() {
			body, err := ask()
			answer <- result{body, err}
		}()
		Eventually(runner.Runs, startBound, 10*time.Millisecond).Should(Equal(1))
		session.Signal(syscall.SIGTERM)
		Eventually(func() int { return httpStatus(instance.Ready, "/") }, startBound, 20*time.Millisecond).Should(Equal(http.StatusServiceUnavailable))
		var r result
		Eventually(answer, "6s").Should(Receive(&r))
		Expect(r.err).NotTo(HaveOccurred())
		Expect(r.body).To(ContainSubstring("piece 20"))
		Eventually(session, "8s").Should(gexec.Exit(ExitOK))
		for _, line := range []string{`"msg":"start"`, `"msg":"configuration in force"`, `"msg":"server ready"`, `"msg":"placed","request_id":"request-1"`, `"msg":"answered","request_id":"request-1"`, `"msg":"stop"`} {
			Expect(string(session.Out.Contents())).To(ContainSubstring(line))
		}
	})

	// Guards against a reload signal that ends a process which is stopping, and cuts all
	// requests in progress there.
	It("finishes its requests when reload and stop signals arrive during the stop", func() {
		runner.SetBehaviour(platformtest.Stream(30, 0, 100*time.Millisecond))
		const callers = 10
		answers := make(chan error, callers)
		for range callers {
			go func() {
				body, err := ask()
				if err == nil && !strings.Contains(body, "piece 30") {
					err = errors.New("incomplete answer: " + body)
				}
				answers <- err
			}()
		}
		Eventually(runner.Runs, startBound, 10*time.Millisecond).Should(Equal(callers))
		session.Signal(syscall.SIGHUP)
		session.Signal(syscall.SIGTERM)
		for range 20 {
			time.Sleep(100 * time.Millisecond)
			session.Signal(syscall.SIGHUP)
			session.Signal(syscall.SIGTERM)
		}
		for range callers {
			Eventually(answers, "6s").Should(Receive(BeNil()))
		}
		Eventually(session, "8s").Should(gexec.Exit(ExitOK))
	})

	// Guards against a backend server in trouble whose answer without end fills the
	// memory of the entry, or whose request is answered as not run.
	It("keeps its memory bounded while a server sends without end", func() {
		const maxGrowth = 32 << 20 // bytes
		heap := func() float64 { return metricValue(instance.Control, "go_memstats_heap_inuse_bytes") }
		idle := heap()
		answers := []struct {
			name      string
			behaviour platformtest.Behaviour
		}{
			{"a header line", platformtest.EndlessAnswer(false, "HTTP/1.1 200 OK\r\nX-A: ", "aaaaaaaaaaaaaaaa")},
			{"header lines", platformtest.EndlessAnswer(false, "HTTP/1.1 200 OK\r\n", "X-Header: a value\r\n")},
			{"no answer", platformtest.EndlessAnswer(false, "", "garbage ")},
			{"interim answers", platformtest.EndlessAnswer(false, "", "HTTP/1.1 102 Processing\r\n\r\n")},
			{"an event", platformtest.EndlessAnswer(true, "id: 1\ndata: ", "aaaaaaaaaaaaaaaa")},
			{"lines of an event", platformtest.EndlessAnswer(true, "id: 1\n", "data: piece\n")},
		}
		for _, a := range answers {
			By(a.name)
			runner.SetBehaviour(a.behaviour)
			var callers sync.WaitGroup
			for range 4 {
				callers.Go(func() {
					defer GinkgoRecover()
					body, err := ask()
					Expect(err != nil || strings.Contains(body, oleanderspool.MayHaveRun.String())).To(BeTrue(), "%s", body)
				})
			}
			done := make(chan struct{})
			go func() {
				callers.Wait()
				close(done)
			}()
			highest := 0.0
			Eventually(func() <-chan struct{} {
				highest = max(highest, heap())
				return done
			}, "15s", 20*time.Millisecond).Should(BeClosed())
			Expect(highest-idle).To(BeNumerically("<", maxGrowth), a.name)
		}
	})

	// Guards against a log reader that goes away and takes the process and its requests
	// with it.
	It("serves on when nobody reads its log", func() {
		reader, writer, err := os.Pipe()
		Expect(err).NotTo(HaveOccurred())
		second := platformtest.Instance{Name: "front-2", Listen: freeAddress(), Ready: freeAddress(), Control: freeAddress(), Peer: freeAddress()}
		variable, err := store.WriteSettings(GinkgoT().TempDir(), second)
		Expect(err).NotTo(HaveOccurred())
		command := exec.Command(binary, "forward")
		command.Env, command.Stdout = append(os.Environ(), variable), writer
		Expect(command.Start()).To(Succeed())
		DeferCleanup(func() {
			_ = command.Process.Kill() // it has usually exited
		})
		Eventually(func() int { return httpStatus(second.Ready, "/") }, startBound, 20*time.Millisecond).Should(Equal(http.StatusOK))
		Expect(writer.Close()).To(Succeed())
		Expect(reader.Close()).To(Succeed())
		instance = second
		runner.SetBehaviour(platformtest.Stream(3, 0, 100*time.Millisecond))
		for range 2 {
			body, err := ask()
			Expect(err).NotTo(HaveOccurred())
			Expect(body).To(ContainSubstring("piece 3"))
		}
		Expect(command.Process.Signal(syscall.SIGTERM)).To(Succeed())
		Expect(command.Wait()).To(Succeed())
	})

	// Guards against many requests whose answers, each within its bounds, together exceed
	// the memory of the instance, so that the requests of all callers end with it.
	for _, c := range []struct{ name, path, start string }{
		{"a header line", "/ask/", "HTTP/1.1 200 OK\r\nX-A: "},
		{"bytes that are no answer", "/lookup/", ""},
		{"an event", "/ask/", platformtest.AnswerHead("", true, "Content-Type: text/event-stream\r\n") + "id: 1\ndata: "},
		{"an answer", "/lookup/", platformtest.AnswerHead("", true, "")},
	} {
		It("stays within the memory of its instance while many servers send without end: "+c.name, func() {
			const (
				servers      = 21
				callers      = 400
				blockSize    = 32 << 10
				blocksPerSec = 20
			)
			for i := range servers {
				for _, service := range []string{"llm", "app"} {
					r := platformtest.NewRunner(store, fmt.Sprintf("%s-%d", service, i), service)
					DeferCleanup(r.Close)
					r.SetBehaviour(platformtest.RawAnswer(func(conn net.Conn, _ string) {
						block := bytes.Repeat([]byte("a"), blockSize)
						for _, err := conn.Write([]byte(c.start)); err == nil; _, err = conn.Write(block) {
							time.Sleep(time.Second / blocksPerSec)
						}
					}))
				}
			}
			runner.Unregister()
			Eventually(func() int { return bytes.Count(session.Out.Contents(), []byte(`"msg":"server ready"`)) }, startBound, 20*time.Millisecond).Should(Equal(1 + 2*servers))
			answers := make(chan error, callers)
			for i := range callers {
				go func() {
					_, err := askAt(c.path + strconv.Itoa(i))
					answers <- err
				}()
			}
			for range callers {
				Eventually(answers, "15s").Should(Receive())
			}
			status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", session.Command.Process.Pid))
			Expect(err).NotTo(HaveOccurred())
			peak := regexp.MustCompile(`VmHWM:\s+(\d+) kB`).FindSubmatch(status)
			Expect(peak).NotTo(BeNil())
			kilobytes, err := strconv.Atoi(string(peak[1]))
			Expect(err).NotTo(HaveOccurred())
			GinkgoWriter.Println("peak of the resident memory in MiB:", kilobytes>>10)
			Expect(kilobytes >> 10).To(BeNumerically("<", memoryMb))
		})
	}

	// Guards against counters that nobody can read.
	It("serves its counters and logs a reload", func() {
		runner.SetBehaviour(platformtest.Stream(2, 0, 0))
		_, err := ask()
		Expect(err).NotTo(HaveOccurred())
		response, err := http.Get("http://" + instance.Control + "/metrics")
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(body)).To(ContainSubstring(`oleanderspool_attempts_total{outcome="answered"} 1`))
		session.Signal(syscall.SIGHUP)
		Eventually(session.Out, startBound).Should(gbytes.Say(`"msg":"reload"`))
	})
})

// metricValue returns the value of a metric without labels.
func metricValue(address, name string) float64 {
	response, err := http.Get("http://" + address + "/metrics")
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	for line := range strings.SplitSeq(string(body), "\n") {
		if text, found := strings.CutPrefix(line, name+" "); found {
			value, err := strconv.ParseFloat(text, 64)
			Expect(err).NotTo(HaveOccurred())
			return value
		}
	}
	Fail("no metric " + name)
	return 0
}

// httpStatus returns the HTTP status of a path, or 0 without an answer.
func httpStatus(address, path string) int {
	response, err := http.Get("http://" + address + path)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}
