package command

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/clock"
	"github.com/oleanderspool/oleanderspool/internal/observe"
	"github.com/oleanderspool/oleanderspool/internal/platform"
	"github.com/oleanderspool/oleanderspool/internal/replica"
	"github.com/oleanderspool/oleanderspool/internal/revision"
	"github.com/oleanderspool/oleanderspool/pkg/configuration"
)

// publishCommand publishes a configuration.
type publishCommand struct {
	Platform  string `long:"platform" required:"true" value-name:"IP:PORT" description:"Address of the platform"`
	ID        string `long:"id" description:"Id of the change; the same id is applied once. By default it is made from the change"`
	ChangeSet bool   `long:"change-set" description:"The file holds a change set and not a whole configuration"`
	Wait      bool   `long:"wait" description:"Wait until the change is in force on every listed instance"`
	TimeoutMS int64  `long:"timeout-ms" default:"30000" description:"How long to try, in milliseconds"`
}

// publication is one run of the publish command.
type publication struct {
	command  *publishCommand
	env      environment
	clock    *clock.System
	platform *platform.Client
	source   replica.Source
	replica  *replica.Replica
}

func (c *publishCommand) run(env environment, args []string) error {
	if len(args) != 1 {
		return withCode(ExitUsage, errors.New("publish takes one file"))
	}
	data, err := os.ReadFile(args[0])
	if err != nil {
		return err
	}
	client := platform.NewClient(c.Platform)
	p := &publication{command: c, env: env, clock: clock.NewSystem(), platform: client}
	p.source = replica.Source{Log: client, Clock: p.clock}
	p.replica = replica.New(slog.New(slog.DiscardHandler), observe.NewMetrics(), func(configuration.Configuration, oleanderspool.Revision) {})
	ctx, cancel := context.WithTimeout(env.ctx, oleanderspool.Millis(c.TimeoutMS).Duration())
	defer cancel()
	change, err := p.change(ctx, args[0], data)
	if err != nil {
		return err
	}
	if change.Empty() {
		fmt.Fprintln(env.stdout, "nothing to publish: the configuration in force is the same")
		return nil
	}
	return p.publish(ctx, change)
}

// change returns the change set to publish.
func (p *publication) change(ctx context.Context, file string, data []byte) (configuration.ChangeSet, error) {
	if p.command.ChangeSet {
		change, err := configuration.ParseChangeSet(file, data)
		if err == nil && p.command.ID != "" {
			change = change.WithID(p.command.ID)
		}
		return change, withCode(ExitInvalid, findingsError(err))
	}
	next, err := configuration.Parse(file, data)
	if err != nil {
		return configuration.ChangeSet{}, withCode(ExitInvalid, findingsError(err))
	}
	if _, err := p.replica.ReadToHead(ctx, p.source, func(revision.Decision) {}); err != nil {
		return configuration.ChangeSet{}, err
	}
	change := configuration.Diff(p.replica.Configuration(), next)
	id := p.command.ID
	if id == "" {
		id = fmt.Sprintf("change-%d-%016x", p.replica.Revision(), xxhash.Sum64(data))
	}
	return change.WithID(id), nil
}

// findingsError returns an error whose text is the findings, one a line.
func findingsError(err error) error {
	if err == nil {
		return nil
	}
	return errors.New(findingsText(err))
}

// publish carries out the steps of the publisher until its result is final.
func (p *publication) publish(ctx context.Context, change configuration.ChangeSet) error {
	publisher, err := revision.NewPublisher(change, p.clock.Now()+oleanderspool.Millis(p.command.TimeoutMS))
	if err != nil {
		return withCode(ExitInvalid, findingsError(err))
	}
	for {
		step, at := publisher.Next(p.clock.Now())
		if span := at - p.clock.Now(); span > 0 {
			time.Sleep(span.Duration())
			continue
		}
		if step == revision.StepDone {
			return p.report(publisher.Result())
		}
		if step == revision.StepWait && !p.command.Wait {
			return p.report(publisher.Result())
		}
		p.take(ctx, publisher, step, change.ID)
	}
}

// take carries out one step. Errors of reads and calls only delay the result.
func (p *publication) take(ctx context.Context, publisher *revision.Publisher, step revision.Step, id string) {
	switch step {
	case revision.StepAppend:
		offset, err := p.platform.Append(ctx, oleanderspool.StreamConfiguration, [][]byte{publisher.Data()})
		if err != nil {
			publisher.AppendFailed(err, p.clock.Now())
			return
		}
		publisher.Appended(offset)
	case revision.StepRead:
		if d, ok := p.replica.Decision(id); ok {
			publisher.Observe(d)
		}
		head, err := p.replica.ReadToHead(ctx, p.source, publisher.Observe)
		if err != nil {
			time.Sleep(stepRetry)
			return
		}
		if d, ok := p.replica.Decision(id); ok {
			publisher.Observe(d)
		}
		publisher.Replayed(p.replica.Position(), head)
	case revision.StepWait:
		p.askRevisions(ctx, publisher)
	}
}

// stepRetry is the span before a failed read is repeated.
const stepRetry = 200 * time.Millisecond

// askRevisions reports how far every listed process is.
func (p *publication) askRevisions(ctx context.Context, publisher *revision.Publisher) {
	defer time.Sleep(stepRetry)
	list, err := p.platform.Instances(ctx)
	if err != nil {
		return
	}
	instances := make([]oleanderspool.InstanceID, len(list))
	for i, state := range list {
		instances[i] = state.Instance
	}
	publisher.ExpectInstances(instances...)
	for _, r := range askStatus(ctx, list) {
		if r.err == nil {
			publisher.ReportRevision(r.instance.Instance, oleanderspool.Revision(r.reply.GetRevision()))
		}
	}
}

// report prints the result and returns its exit code as an error.
func (p *publication) report(r revision.Result) error {
	out := p.env.stdout
	switch r.Status {
	case revision.StatusInForce:
		fmt.Fprintf(out, "in force everywhere at revision %d\n", r.Revision)
		return nil
	case revision.StatusAccepted:
		fmt.Fprintf(out, "accepted at revision %d\n", r.Revision)
		if !p.command.Wait {
			return nil
		}
		for _, id := range r.Lagging {
			fmt.Fprintf(out, "not yet in force on %s\n", id)
		}
		return withCode(ExitFailed, errors.New("the change is accepted and not yet in force everywhere"))
	case revision.StatusRejected:
		for _, f := range r.Findings {
			fmt.Fprintln(out, f)
		}
		return withCode(ExitRejected, errors.New("the change was rejected"))
	case revision.StatusNotAppended:
		return withCode(ExitFailed, errors.New("the change was not appended: the log is unavailable"))
	default:
		return withCode(ExitUnknown, errors.New("the outcome is unknown: publish again with the same id"))
	}
}
