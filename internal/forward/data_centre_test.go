package forward_test

import (
	"bytes"
	"log/slog"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/forward"
	"github.com/oleanderspool/oleanderspool/internal/observe"
	"github.com/oleanderspool/oleanderspool/platform/platformtest"
)

// Guards against traffic between data centres that is not counted, or counted as traffic
// within one, and against placements whose reason is not logged. The servers are in dc-a.
var _ = DescribeTable("An exchange with a backend server is counted and logged by data centre",
	func(entry, label, crossing string) {
		metrics, log := observe.NewMetrics(), &bytes.Buffer{}
		h := newHarness(1, 1, forward.WithDataCentre(oleanderspool.DataCentreID(entry)), forward.WithMetrics(metrics),
			forward.WithLogger(slog.New(slog.NewTextHandler(log, nil))))
		h.runners[1].SetBehaviour(platformtest.Stream(5, 0, 0))
		streamed := h.send(query{path: "/ask/1", prompt: 1000, body: "0123456789"})
		plain := h.send(query{path: "/lookup/1", body: "01234"})
		Expect([]int{streamed.status, plain.status}).To(Equal([]int{200, 200}))
		Eventually(h.gateway.InFlight, waitTimeout, pollInterval).Should(BeZero())
		families, err := metrics.Registry().Gather()
		Expect(err).NotTo(HaveOccurred())
		counts := map[string]float64{}
		for _, f := range families {
			for _, m := range f.GetMetric() {
				labels := []string{strings.TrimPrefix(f.GetName(), "oleanderspool_")}
				for _, l := range m.GetLabel() {
					labels = append(labels, l.GetValue())
				}
				if strings.HasPrefix(labels[0], "data_centre_") {
					counts[strings.Join(labels, " ")] = m.GetCounter().GetValue()
				}
			}
		}
		Expect(counts).To(Equal(map[string]float64{
			"data_centre_requests_total " + label:            2,
			"data_centre_bytes_total " + label + " sent":     15,
			"data_centre_bytes_total " + label + " received": float64(len(streamed.body) + len(plain.body)),
		}))
		Expect(strings.Count(log.String(), "data_centre=dc-a crossing="+crossing+" ")).To(Equal(2))
	},
	Entry("within the data centre of the entry", "dc-a", "own", "own"),
	Entry("with another data centre", "dc-b", "other", "no_server"),
)
