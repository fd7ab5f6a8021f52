package command

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/pkg/configuration"
)

// runCommand runs a subcommand in this process.
func runCommand(args ...string) (code int, stdout, stderr string) {
	var out, errOut bytes.Buffer
	code = run(environment{ctx: context.Background(), stdout: &out, stderr: &errOut}, args)
	return code, out.String(), errOut.String()
}

// revisionOf returns the revision that a process shows on its admin address.
func (d *deployment) revisionOf(name string) int64 {
	response, err := http.Get("http://" + d.admins[name] + "/status")
	if err != nil {
		return -1
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	var s statusJSON
	Expect(json.Unmarshal(data, &s)).To(Succeed())
	return s.Revision
}

// write writes a file into the deployment's directory.
func (d *deployment) write(name string, data []byte) string {
	file := filepath.Join(d.directory, name)
	Expect(os.WriteFile(file, data, 0o600)).To(Succeed())
	return file
}

var _ = Describe("Configuration in separate processes", Ordered, func() {
	var d *deployment
	var base configuration.Configuration
	BeforeAll(func() {
		d = newDeployment(1)
		var err error
		base, err = fleetConfiguration(d.list)
		Expect(err).NotTo(HaveOccurred())
	})
	account := func(id string) configuration.ClientAccount {
		return configuration.ClientAccount{ID: "account-" + "x", Priority: "batch", ShareOfCapacity: 1, KeyHash: configuration.HashKey(id)}
	}

	// Guards against a change that is reported in force before every process
	// has it (P8).
	It("publishes a configuration and waits until it is in force everywhere", func() {
		next, err := base.With(configuration.WithClientAccounts(account("one")))
		Expect(err).NotTo(HaveOccurred())
		file := d.write("next.json", next.Print())
		started := time.Now()
		code, out, errOut := runCommand("publish", "--platform", d.platform, "--wait", file)
		Expect(code).To(Equal(ExitOK), out+errOut)
		Expect(out).To(ContainSubstring("in force everywhere at revision 2"))
		Expect(time.Since(started)).To(BeNumerically("<", 13*time.Second))
		for _, name := range []string{"entry-1", "entry-2", "runner-1", "services-1"} {
			Expect(d.revisionOf(name)).To(Equal(int64(2)), name)
		}
		code, out, _ = runCommand("publish", "--platform", d.platform, file)
		Expect(code).To(Equal(ExitOK))
		Expect(out).To(ContainSubstring("nothing to publish"))
		code, out, _ = runCommand("status", "--platform", d.platform)
		Expect(code).To(Equal(ExitOK), out)
	})

	// Guards against a second operator overwriting a change that it did not
	// know of (P8).
	It("rejects a change against an older revision of an object", func() {
		data, err := configuration.ChangeSet{
			ID:   "racing",
			Puts: []configuration.Put{{Object: account("two"), Revision: 1}},
		}.Print()
		Expect(err).NotTo(HaveOccurred())
		code, out, _ := runCommand("publish", "--platform", d.platform, "--change-set", d.write("racing.json", data))
		Expect(code).To(Equal(ExitRejected))
		Expect(out).To(ContainSubstring("account-x"))
		Expect(d.revisionOf("entry-1")).To(Equal(int64(2)))
	})

	// Guards against a publisher that reports a change as accepted although the
	// answer of the log was lost, or appends it twice.
	It("finds out what became of a change whose answer was lost", func() {
		data, err := configuration.ChangeSet{
			ID:   "lost",
			Puts: []configuration.Put{{Object: account("three"), Revision: 2}},
		}.Print()
		Expect(err).NotTo(HaveOccurred())
		d.control(http.MethodPost, d.platform, "/control/faults", map[string]any{
			"kind": "lose_response", "path": "/log/configuration", "method": "POST", "count": 1,
		})
		code, out, errOut := runCommand("publish", "--platform", d.platform, "--wait", "--change-set", d.write("lost.json", data))
		Expect(code).To(Equal(ExitOK), out+errOut)
		Expect(out).To(ContainSubstring("in force everywhere at revision 4"))
	})

	// Guards against a process that cannot start without the platform, or that
	// starts with an older configuration than its peers (P8).
	It("starts an entry from its peers while the log is down", func() {
		d.addFault(d.platform, faultBody{Kind: "outage", Path: "/log"})
		DeferCleanup(d.clearFaults, d.platform)
		callers, peers := freeAddress(), freeAddress()
		d.admins["entry-3"] = freeAddress()
		d.start("entry-3", fmt.Sprintf("instance = \"entry-3\"\ndata_centre = \"dc-a\"\nlisten = %q\npeer_listen = %q\nadmin_listen = %q\nplatform = %q\npeers = [%q]\nkey_lifetime_ms = 21600000\nlog_retention_ms = 86400000\n",
			callers, peers, d.admins["entry-3"], d.platform, d.list[2].Address), "entry")
		Eventually(func() int64 { return d.revisionOf("entry-3") }, 13*time.Second, 100*time.Millisecond).Should(Equal(int64(4)))
	})

	// Guards against a paused process that goes on with its old configuration
	// after it resumes (P8).
	It("brings a paused agent up to date before it serves again", func() {
		d.pause("runner-1", func() {
			data, err := configuration.ChangeSet{
				ID:   "while-paused",
				Puts: []configuration.Put{{Object: account("four"), Revision: 4}},
			}.Print()
			Expect(err).NotTo(HaveOccurred())
			code, out, _ := runCommand("publish", "--platform", d.platform, "--change-set", d.write("paused.json", data))
			Expect(code).To(Equal(ExitOK), out)
		})
		Eventually(func() int64 { return d.revisionOf("runner-1") }, 13*time.Second, 50*time.Millisecond).Should(Equal(int64(5)))
	})

	// Guards against a change that is lost, accepted twice or against an older
	// object, or reported as something else than it is, when operators race
	// before, during and after an outage of the log (P8).
	It("settles races of operators around an outage of the log", func() {
		const own, rivals = 2, 2 // operators in each of the three phases
		var group sync.WaitGroup
		var won atomic.Int32
		publish := func(id string, put configuration.Put) int {
			defer GinkgoRecover()
			data, err := configuration.ChangeSet{ID: id, Puts: []configuration.Put{put}}.Print()
			Expect(err).NotTo(HaveOccurred())
			code, out, errOut := runCommand("publish", "--platform", d.platform, "--change-set", d.write(id+".json", data))
			Expect(code).To(BeElementOf(ExitOK, ExitRejected), out+errOut)
			return code
		}
		race := func(phase string) {
			for i := range own {
				id := fmt.Sprint("own-", phase, i)
				object := account(id)
				object.ID = oleanderspool.ClientAccountID(id)
				group.Go(func() {
					defer GinkgoRecover()
					Expect(publish(id, configuration.Put{Object: object})).To(Equal(ExitOK))
				})
			}
			for i := range rivals {
				id := fmt.Sprint("rival-", phase, i)
				group.Go(func() {
					if publish(id, configuration.Put{Object: account(id), Revision: 5}) == ExitOK {
						won.Add(1)
					}
				})
			}
		}
		race("before")
		d.addFault(d.platform, faultBody{Kind: "outage", Path: "/log"})
		race("during")
		time.Sleep(time.Second)
		d.clearFaults(d.platform)
		race("after")
		group.Wait()
		Expect(won.Load()).To(BeEquivalentTo(1))
		// One revision for each accepted change, once everywhere.
		last := int64(3*rivals + 5)
		for _, name := range []string{"entry-1", "entry-2", "entry-3", "runner-1", "services-1"} {
			Eventually(func() int64 { return d.revisionOf(name) }, 13*time.Second, 50*time.Millisecond).Should(BeNumerically(">=", last), name)
		}
	})
})
