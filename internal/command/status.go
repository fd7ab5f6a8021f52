package command

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/peer"
	"github.com/oleanderspool/oleanderspool/internal/peer/peerpb"
	"github.com/oleanderspool/oleanderspool/internal/platform"
)

// statusBound bounds the call of one process.
const statusBound = 2 * time.Second

// statusParallel bounds the processes that are asked at once.
const statusParallel = 64

// statusCommand shows the processes of the fleet.
type statusCommand struct {
	Platform string `long:"platform" required:"true" value-name:"IP:PORT" description:"Address of the platform"`
}

func (c *statusCommand) run(env environment, _ []string) error {
	list, err := platform.NewClient(c.Platform).Instances(env.ctx)
	if err != nil {
		return err
	}
	reports := askStatus(env.ctx, list)
	table := tabwriter.NewWriter(env.stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "INSTANCE\tROLE\tDATA CENTRE\tREVISION\tSTATE\tVERSION")
	unreachable := 0
	for _, r := range reports {
		state := "serving"
		switch {
		case r.err != nil:
			state = "unreachable"
			unreachable++
		case r.reply.GetLeaving() || r.instance.Leaving:
			state = "leaving"
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%s\t%s\n", r.instance.Instance, r.instance.Role, r.instance.DataCentre,
			r.reply.GetRevision(), state, r.reply.GetVersion())
	}
	if err := table.Flush(); err != nil {
		return err
	}
	if unreachable > 0 {
		return withCode(ExitFailed, fmt.Errorf("%d of %d processes are unreachable", unreachable, len(reports)))
	}
	return nil
}

// processReport is what one process answered.
type processReport struct {
	instance oleanderspool.InstanceState
	reply    *peerpb.StatusReply // empty after an error
	err      error
}

// errNoAddress says that the platform's list has no address for an instance.
var errNoAddress = errors.New("no address in the instance list")

// askStatus asks every listed process. Reports are ordered by instance.
func askStatus(ctx context.Context, list []oleanderspool.InstanceState) []processReport {
	peers := peer.NewClient()
	defer func() { _ = peers.Close() }()
	reports := make([]processReport, len(list))
	turns := make(chan struct{}, statusParallel)
	var group sync.WaitGroup
	for i, instance := range list {
		turns <- struct{}{}
		group.Go(func() {
			defer func() { <-turns }()
			reports[i] = askOne(ctx, peers, instance)
		})
	}
	group.Wait()
	slices.SortFunc(reports, func(a, b processReport) int {
		return strings.Compare(string(a.instance.Instance), string(b.instance.Instance))
	})
	return reports
}

func askOne(ctx context.Context, peers *peer.Client, instance oleanderspool.InstanceState) processReport {
	r := processReport{instance: instance, reply: &peerpb.StatusReply{}}
	if instance.Address == "" {
		r.err = errNoAddress
		return r
	}
	ctx, cancel := context.WithTimeout(ctx, statusBound)
	defer cancel()
	reply, err := peers.Process(instance.Address).Status(ctx, &peerpb.StatusRequest{})
	if err != nil {
		r.err = err
		return r
	}
	r.reply = reply
	return r
}
