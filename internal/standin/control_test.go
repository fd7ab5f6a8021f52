package standin_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/standin"
	"github.com/oleanderspool/oleanderspool/internal/standin/engine"
	"github.com/oleanderspool/oleanderspool/internal/standin/platform"
	"github.com/oleanderspool/oleanderspool/internal/standin/service"
)

func TestStandin(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "standin")
}

// exchange is a request and its expected response. A status of 0 means that no
// response is expected.
type exchange struct {
	method   string
	path     string
	body     string
	status   int
	contains string // substring of the response body
}

func expectExchanges(handler http.Handler, exchanges []exchange) {
	GinkgoHelper()
	server := httptest.NewServer(handler)
	defer server.Close()
	defer server.CloseClientConnections()
	for _, x := range exchanges {
		request, err := http.NewRequest(x.method, server.URL+x.path, strings.NewReader(x.body))
		Expect(err).NotTo(HaveOccurred())
		response, err := http.DefaultClient.Do(request)
		if x.status == 0 {
			Expect(err).To(HaveOccurred(), "%+v", x)
			continue
		}
		Expect(err).NotTo(HaveOccurred(), "%+v", x)
		data, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		Expect(err).NotTo(HaveOccurred(), "%+v", x)
		Expect(response.StatusCode).To(Equal(x.status), "%+v: %s", x, data)
		Expect(string(data)).To(ContainSubstring(x.contains), "%+v", x)
	}
}

// Guards against stand-ins that cannot be controlled over HTTP when they run as
// processes of their own.
var _ = Describe("Control of the stand-ins over HTTP", func() {
	It("adds, lists, counts down and clears the faults of the service stand-in", func() {
		expectExchanges(service.New(), []exchange{
			{"POST", "/control/faults", `{"kind":"outage","path":"/stock","method":"GET","skip":1,"count":1}`, 200, ""},
			{"GET", "/control/faults", "", 200, `{"faults":[{"kind":"outage","path":"/stock","method":"GET","skip":1,"count":1}]}`},
			{"GET", "/stock/peg", "", 200, `"count":10000`},
			{"GET", "/drafts/none", "", 404, "not_found"},
			{"GET", "/stock/peg", "", 503, `"effect":"none"`},
			{"GET", "/stock/peg", "", 200, ""},
			{"POST", "/control/faults", `{"kind":"break"}`, 200, ""},
			{"PUT", "/drafts/d", `{"text":"t"}`, 0, ""},
			{"DELETE", "/control/faults", "", 200, ""},
			{"GET", "/control/faults", "", 200, `{"faults":[]}`},
			{"POST", "/control/faults", `{"kind":"earthquake"}`, 400, "unknown kind"},
			{"POST", "/control/faults", `{"kind":`, 400, "bad_request"},
		})
	})

	It("lists the operations that the service stand-in has run", func() {
		expectExchanges(service.New(service.WithStock("peg", 5), service.WithDraft("d", "verse")), []exchange{
			{"POST", "/pegs/reserve", `{"reference":"r","item":"peg","count":3}`, 200, `{"reference":"r","run":1,"left":2}`},
			{"POST", "/pegs/reserve", `{"reference":"r","item":"peg","count":3}`, 409, "out_of_stock"},
			{"POST", "/pegs/reserve", `{"reference":"","item":"peg","count":1}`, 400, ""},
			{"POST", "/orders/print", `{"reference":"o","draft":"d","copies":2}`, 200, `"run":1`},
			{"POST", "/orders/print", `{"reference":"o","draft":"d","copies":2}`, 200, `"run":2`},
			{"POST", "/orders/print", `{}`, 400, ""},
			{"GET", "/stock/peg", "", 200, `"count":2`},
			{"GET", "/drafts/d", "", 200, "verse"},
			{"PUT", "/drafts/d", `{"text":"ode"}`, 200, "ode"},
			{"GET", "/control/runs", "", 200, `[{"operation":"pegs/reserve","reference":"r","count":1},{"operation":"orders/print","reference":"o","count":2}]`},
			{"DELETE", "/control/runs", "", 200, ""},
			{"GET", "/control/runs", "", 200, `{"runs":[]}`},
		})
	})

	It("serves the log, the instance list and the weight store of the platform stand-in", func() {
		p := platform.New(platform.WithInstanceLag(0))
		expectExchanges(p, []exchange{
			{"POST", "/log/claim", `{"records":["YQ==","Yg=="]}`, 200, `{"first":1}`},
			{"POST", "/log/claim", `{"records":["YQ==","%"]}`, 400, `"effect":"none"`},
			{"POST", "/log/claim", `{"records":[]}`, 400, `"effect":"none"`},
			{"POST", "/control/retention", `{"stream":"claim","keep":1}`, 200, ""},
			{"GET", "/log/claim?from=1&limit=9&wait_ms=0", "", 200, `{"records":[{"offset":2,"data":"Yg=="}],"head":2}`},
			{"GET", "/log/other?from=1&limit=9&wait_ms=0", "", 200, `{"records":[],"head":0}`},
			{"GET", "/log/claim?from=1", "", 400, ""},
			{"PUT", "/control/instances", `{"instances":[{"instance":"i","address":"127.0.0.1:1"}]}`, 200, ""},
			{"GET", "/instances", "", 200, `"instance":"i"`},
			{"POST", "/weights", `{"artefact":"a"}`, 200, `{"wait_ms":0}`},
		})
	})

	It("slows, pauses, resumes and crashes the engine stand-in and lists its requests", func() {
		e := engine.New(engine.WithModels("ode"), engine.WithDowntime(50), engine.WithTokenTime(1))
		DeferCleanup(e.Close)
		expectExchanges(e, []exchange{
			{"POST", "/v1/completions", `{"model":"ode","prompt":"p","max_tokens":2,"request_id":"a"}`, 200, engine.Text("p", 0, 2)},
			{"POST", "/control/engine", `{"action":"slow","factor":2}`, 200, ""},
			{"POST", "/control/engine", `{"action":"pause"}`, 200, ""},
			{"POST", "/control/engine", `{"action":"resume"}`, 200, ""},
			{"POST", "/control/engine", `{"action":"dance"}`, 400, ""},
			{"POST", "/control/engine", `{"action":"crash"}`, 200, ""},
			{"GET", "/v1/report", "", 0, ""},
			{"GET", "/control/requests", "", 200, `{"crashes":1,"requests":[{"request_id":"a","model":"ode","prompt_tokens":1,"cached_tokens":0,"prefilled_tokens":1,"generated":2,"outcome":"length"}]}`},
		})
	})
})

// crashingBody is the body of a request; the engine crashes while reading it.
type crashingBody struct {
	io.Reader
	engine *engine.Engine
}

func (b crashingBody) Read(data []byte) (int, error) {
	b.engine.Crash()
	return b.Reader.Read(data)
}

var _ = Describe("The engine stand-in", func() {
	// Guards against an engine that executes a request after its crash: a prompt that
	// crashes its engine would count as two crashes of that engine, and reserved
	// memory or a loaded model would still be there after the restart.
	cases := []struct{ name, path, body string }{
		{"request", "/v1/completions", `{"model":"ode","prompt":"p","max_tokens":2,"request_id":"a"}`},
		{"reservation", "/v1/reserve", `{"owner":"a","tokens":10}`},
		{"import", "/v1/import?owner=a", `{"owner":"a","model":"ode","tokens":10}`},
		{"export", "/v1/export", `{"owner":"a"}`},
		{"cancellation", "/v1/cancel", `{"owner":"a"}`},
		{"order", "/v1/orders", `{"kind":"load","model":"hymn","version":"1","fencing":1}`},
	}
	for _, c := range cases {
		It("aborts a request that it was reading when it crashed: "+c.name, func() {
			e := engine.New(engine.WithModels("ode"))
			DeferCleanup(e.Close)
			body := crashingBody{strings.NewReader(c.body), e}
			Expect(func() {
				e.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, c.path, body))
			}).To(PanicWith(http.ErrAbortHandler))
			Expect(e.Requests()).To(BeEmpty())
		})
	}
})

var _ = Describe("The platform stand-in", func() {
	It("drops records after the retention time and continues their offsets", func() {
		p := platform.New(platform.WithRetention(50))
		expectExchanges(p, []exchange{{"POST", "/log/claim", `{"records":["YQ=="]}`, 200, `{"first":1}`}})
		Eventually(func() []oleanderspool.Record { return p.Records("claim") }).Should(BeEmpty())
		expectExchanges(p, []exchange{{"POST", "/log/claim", `{"records":["Yg=="]}`, 200, `{"first":2}`}})
	})

	It("publishes a change of the instance list after the lag", func() {
		p := platform.New(platform.WithInstanceLag(100))
		begin := time.Now()
		p.SetInstances([]oleanderspool.InstanceState{{Instance: "i"}})
		expectExchanges(p, []exchange{{"GET", "/instances", "", 200, `{"instances":[]}`}})
		Eventually(func() string {
			w := httptest.NewRecorder()
			p.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/instances", nil))
			return w.Body.String()
		}).Should(ContainSubstring(`"i"`))
		Expect(time.Since(begin)).To(BeNumerically(">=", 100*time.Millisecond))
	})

	// Guards against a late request that is executed before its connection has been
	// closed, or is cancelled with it.
	It("executes a late append after its connection has been closed", func() {
		p := platform.New(platform.WithFault(standin.Fault{Kind: standin.FaultLate, Delay: 100, Count: 1}))
		expectExchanges(p, []exchange{{"POST", "/log/claim", `{"records":["YQ=="]}`, 0, ""}})
		Expect(p.Records("claim")).To(BeEmpty())
		Eventually(func() []oleanderspool.Record { return p.Records("claim") }).Should(HaveLen(1))
	})
})
