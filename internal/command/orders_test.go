package command

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/pkg/configuration"
)

// Guards against a change of versions or adapters that cuts requests in
// progress, and against engines that are not given their orders (P7, P8).
var _ = Describe("Engine orders", func() {
	It("load an adapter and another version without cutting a stream", func() {
		env := environment{ctx: GinkgoT().Context(), stdout: GinkgoWriter, stderr: GinkgoWriter}
		f, err := newFleet(env, fleetSize{entries: 1, runners: 2, services: 1})
		Expect(err).NotTo(HaveOccurred())
		defer func() { Expect(f.Close()).To(Succeed()) }()
		ask := func(model, prompt string, tokens int) (string, callerResult) {
			GinkgoHelper()
			text, result, err := ask(callerRequest{
				entry: f.entries[0], apiKey: fleetKey, model: model, prompt: prompt, tokens: tokens, timeout: 20 * oleanderspool.Second,
			})
			Expect(err).NotTo(HaveOccurred())
			return text, result
		}
		stop := make(chan struct{})
		var streams sync.WaitGroup
		for number := range 4 {
			streams.Go(func() {
				defer GinkgoRecover()
				for i := 0; ; i++ {
					select {
					case <-stop:
						return
					default:
					}
					prompt := fmt.Sprintf("stream %d %d", number, i)
					text, result := ask(fleetModel, prompt, 30)
					Expect(result.refusal).To(BeNil())
					Expect(text).To(Equal(expectedAnswer(prompt, 30)))
				}
			})
		}
		base, err := fleetConfiguration(f.list)
		Expect(err).NotTo(HaveOccurred())
		publish := func(c configuration.Configuration) {
			GinkgoHelper()
			file := filepath.Join(GinkgoT().TempDir(), "configuration.json")
			Expect(os.WriteFile(file, c.Print(), 0o600)).To(Succeed())
			code, out, errOut := runCommand("publish", "--platform", f.platformAddress.String(), "--wait", file)
			Expect(code).To(Equal(ExitOK), out+errOut)
		}

		_, result := ask(fleetModel+":rustic", "with an adapter", 5)
		Expect(result.refusal.Reason).To(Equal(oleanderspool.RefusalUnknownModel))
		adapted, err := base.With(configuration.WithAdapters(configuration.Adapter{ID: "rustic", Model: fleetModel, Artefact: "ledger-model/rustic"}))
		Expect(err).NotTo(HaveOccurred())
		publish(adapted)
		Eventually(func() *oleanderspool.Refusal {
			_, result := ask(fleetModel+":rustic", "with an adapter", 5)
			return result.refusal
		}, startBound, 100*time.Millisecond).Should(BeNil())

		updated, err := adapted.With(
			configuration.WithVersions(configuration.Version{ID: "ledger-model-v2", Model: fleetModel, Artefact: "ledger-model/v2"}),
			configuration.WithModels(configuration.Model{ID: fleetModel, Version: "ledger-model-v2", Set: fleetSet, MaxPromptTokens: 1_000_000}),
		)
		Expect(err).NotTo(HaveOccurred())
		publish(updated)
		time.Sleep(2 * time.Second)
		close(stop)
		streams.Wait()
		_, result = ask(fleetModel+":rustic", "with an adapter again", 5)
		Expect(result.refusal).To(BeNil())
	})
})
