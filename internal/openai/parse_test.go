package openai_test

import (
	"fmt"
	"strings"

	"github.com/joomcode/errorx"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/openai"
)

// goodBodies are bodies as ordinary client libraries send them, with unknown
// fields and explicit nulls.
var goodBodies = []struct {
	name string
	chat bool
	body string
}{
	{"chat", true, `{"model":"ode","messages":[{"role":"system","content":"Be brief."},{"role":"user","content":"How many pegs?","name":"lead"}]}`},
	{"chat_full", true, `{"model":"ode:wedding","messages":[{"role":"assistant","content":null},{"role":"user","content":[{"type":"text","text":"a"},{"type":"text","text":"\u00e9\ud83d\ude00\n"}]}],"max_tokens":7,"temperature":0.2,"top_p":1,"n":1,"stop":null,"stream":true,"stream_options":{"include_usage":true},"user":"u","seed":3,"response_format":{"type":"text"},"tools":[]}`},
	{"chat_limits", true, `{"model":"ode","messages":[{"role":"user","content":""}],"max_tokens":9,"max_completion_tokens":5,"stream":false}`},
	{"completion", false, `{"model":"ode","prompt":"A quatrain","max_tokens":1048576,"echo":false,"logprobs":null,"best_of":1}`},
	{"completion_list", false, ` {"prompt" : ["one"], "model":"ode:a"} `},
}

// badBodies have errors that must all be reported together.
var badBodies = []struct {
	name string
	chat bool
	body string
}{
	{"empty", true, ``},
	{"not_json", true, "{\"model\":\n\"ode\",\n}"},
	{"cut", true, `{"model":"ode","messages":[{"role":"user","content":"a`},
	{"trailing", true, `{} {}`},
	{"array", true, `[1]`},
	{"null", true, `null`},
	{"missing", true, `{}`},
	{"missing_completion", false, `{"model":null}`},
	{"wrong_types", true, `{"model":1,"messages":{},"max_tokens":"5","stream":"yes","stream_options":[],"temperature":"hot","n":2,"top_p":1e999}`},
	{"out_of_range", false, `{"model":"a:b:c","prompt":"","max_tokens":0,"max_completion_tokens":1048577,"temperature":2.5,"top_p":-0.1,"n":1.5,"best_of":99999999999999999999}`},
	{"unsupported", false, `{"model":"ode:","prompt":["a","b"],"stop":["x"],"tools":[{}],"logprobs":1,"echo":true,"suffix":"s"}`},
	{"messages", true, `{"model":"ode","messages":[1,{"role":"judge","content":3},{"content":[]},{"role":"user","content":["a",{"type":"image_url"},{"text":"t"},{"type":"text"},{"type":"text","text":5}]}]}`},
	{"no_messages", true, `{"model":"ode","messages":[]}`},
	{"repeated", true, `{"model":"ode","model":"other","mode\u006c":"third","messages":[{"role":"user","content":"a"}]}`},
	{"not_utf8", true, "{\"model\":\"ode\",\"messages\":[{\"role\":\"user\",\"content\":\"\xff\"}]}"},
	{"deep", true, strings.Repeat("[", 100)},
	{"long_name", false, `{"model":"` + strings.Repeat("m", 300) + `","prompt":5}`},
	{"many_messages", true, `{"model":"ode","messages":[` + strings.Repeat("1,", 5000) + `1]}`},
	{"many_values", true, `{"x":[` + strings.Repeat("1,", 1<<17) + `1]}`},
}

func parse(chat bool, body string) (openai.Request, error) {
	if chat {
		return openai.ParseChat([]byte(body))
	}
	return openai.ParseCompletion([]byte(body))
}

var _ = Describe("Parsing", func() {
	// Guards against refusing or misreading what client libraries send.
	It("reads good bodies", func() {
		var b strings.Builder
		for _, c := range goodBodies {
			r, err := parse(c.chat, c.body)
			Expect(err).NotTo(HaveOccurred(), c.name)
			fmt.Fprintf(&b, "%s: %+q\n", c.name, fmt.Sprintf("%+v", r))
		}
		expectGolden("good_bodies", b.String())
	})

	// Guards against errors that report only the first finding, and against
	// limits that are not enforced.
	It("reports all findings of bad bodies in one error", func() {
		var b strings.Builder
		for _, c := range badBodies {
			r, err := parse(c.chat, c.body)
			Expect(errorx.IsOfType(err, oleanderspool.ErrInvalid)).To(BeTrue(), "%s: %v", c.name, err)
			Expect(r).To(Equal(openai.Request{}), c.name)
			fmt.Fprintf(&b, "%s:\n%v\n\n", c.name, err)
		}
		expectGolden("bad_bodies", b.String())
	})

	// Guards against an error response that is much larger than the request body.
	It("limits the findings in one error and counts the rest", func() {
		_, err := parse(true, `{"model":"ode","messages":[`+strings.Repeat("1,", 149)+`1]}`)
		Expect(strings.Count(err.Error(), "must be an object")).To(Equal(openai.MaxFindings))
		Expect(err).To(MatchError(ContainSubstring("50 more findings")))
	})

	It("refuses a prompt that is too long", func() {
		body := `{"model":"ode","prompt":"` + strings.Repeat("a", openai.MaxPromptBytes+1) + `"}`
		_, err := openai.ParseCompletion([]byte(body))
		Expect(err).To(MatchError(ContainSubstring("at most")))
	})
})
