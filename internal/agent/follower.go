package agent

import (
	"context"

	"github.com/oleanderspool/oleanderspool"
)

// follower keeps the agent's configuration up to date from the entries.
type follower struct {
	agent *Agent
}

func newFollower(a *Agent) *follower {
	return &follower{agent: a}
}

func (f *follower) run(ctx context.Context) {
	<-ctx.Done()
}

func (f *follower) revision() oleanderspool.Revision {
	return 0
}

func (f *follower) offer(string, oleanderspool.Revision) {}
