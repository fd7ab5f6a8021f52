package directory_test

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/clock"
	"github.com/oleanderspool/oleanderspool/internal/directory"
	"github.com/oleanderspool/oleanderspool/internal/standin/link"
	"github.com/oleanderspool/oleanderspool/platform"
	"github.com/oleanderspool/oleanderspool/platform/platformtest"
)

var _ = Describe("A change at the store", func() {
	const (
		maxDelay  = 2 * oleanderspool.Second
		followers = 16
		rounds    = 3
	)
	entry := func(version int) platformtest.Route {
		return platformtest.Route{Name: fmt.Sprint("route-", version), Host: "h", Prefix: fmt.Sprintf("/%d/", version), Kind: platformtest.KindIdempotent, Service: "app", TimeoutMs: 1000, Attempts: 1}
	}

	// Guards against a configuration and a removed server that are used for longer than
	// allowed after connections to the store have gone silent while new ones work, or
	// when a waiting read misses the change.
	for _, c := range []struct {
		name    string
		silent  bool
		answers bool // late
	}{
		{"is known in time after connections have gone silent", true, false},
		{"is known in time when waiting reads miss it", false, true},
		{"is known in time when both happen", true, true},
	} {
		It(c.name, func() {
			rng := rand.New(rand.NewPCG(20261205, 0))
			store := platformtest.NewStore(10)
			DeferCleanup(store.Close)
			version := 0
			configure := func() {
				version++
				store.Configure(platformtest.Configuration{Routes: []platformtest.Route{entry(version)}, Services: []string{"app"}})
			}
			configure()
			runner := platformtest.NewRunner(store, "app-1", "app")
			DeferCleanup(runner.Close)
			var relays []*link.Relay
			var views []*directory.View
			budget, err := directory.NewBudget(maxDelay, maxDelay)
			Expect(err).NotTo(HaveOccurred())
			ctx, stop := context.WithCancel(context.Background())
			DeferCleanup(stop)
			for range followers {
				relay, err := link.New(store.Address())
				Expect(err).NotTo(HaveOccurred())
				DeferCleanup(relay.Close)
				boot, view := clock.NewBoot(), directory.NewView()
				client := platform.NewStoreClient(relay.Address(), platform.WithCallTimeout(budget.CallTimeout))
				f := directory.NewFollower(view, platform.NewConfigurationFeed(client), platform.NewServerFeed(client, boot), boot,
					slog.New(slog.DiscardHandler), directory.WithBudget(budget))
				time.Sleep(time.Duration(rng.IntN(200)) * time.Millisecond) // the followers read at different times
				go f.RunConfigurations(ctx)
				go f.RunServers(ctx)
				relays, views = append(relays, relay), append(views, view)
			}
			known := func(servers int) func() int {
				return func() int {
					n := 0
					for _, v := range views {
						s := v.Snapshot()
						if s.Configuration != nil && s.Configuration.Version == int64(version) && len(s.Servers("app")) == servers {
							n++
						}
					}
					return n
				}
			}
			store.SetLateAnswers(c.answers)
			for range rounds {
				Eventually(known(1), "5s", 5*time.Millisecond).Should(Equal(followers))
				time.Sleep(time.Duration(rng.IntN(1000)) * time.Millisecond)
				if c.silent {
					for _, r := range relays {
						r.BlackHole()
					}
				}
				configure()
				runner.Unregister()
				Eventually(known(0), maxDelay.Duration(), 5*time.Millisecond).Should(Equal(followers))
				configure()
				runner.Register("ready")
			}
		})
	}

	// Guards against a budget whose steps exceed the time that they divide.
	It("has steps that fit into the time in which it must be known", func() {
		for _, delay := range []oleanderspool.Millis{500, 1000, 2000, 3000, 4000, 13_000} {
			b, err := directory.NewBudget(delay, delay)
			Expect(err).NotTo(HaveOccurred())
			Expect(b.ReadWait + b.CallTimeout).To(BeNumerically("<", delay))
			Expect(b.ServerInterval + b.ReadDelay + b.CallTimeout).To(BeNumerically("<", delay))
			Expect(b.SharedReadWait + b.CallTimeout + b.ChangeReadInterval).To(BeNumerically("<", delay))
		}
		_, err := directory.NewBudget(300, 2000)
		Expect(err).To(MatchError(ContainSubstring("cannot be known within 300 ms")))
	})
})
