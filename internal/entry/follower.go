package entry

import (
	"context"
	"sync"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/peer/peerpb"
	"github.com/oleanderspool/oleanderspool/pkg/configuration"
)

// follower keeps the configuration up to date from the log and from peers.
type follower struct {
	entry *Entry

	mu    sync.Mutex
	value configuration.Configuration
	at    oleanderspool.Revision
}

func newFollower(e *Entry) *follower {
	return &follower{entry: e}
}

func (f *follower) current() configuration.Configuration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.value
}

func (f *follower) revision() oleanderspool.Revision {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.at
}

func (f *follower) run(ctx context.Context) {
	<-ctx.Done()
}

// handler serves the inner protocol.
type handler struct {
	peerpb.DRPCPeerUnimplementedServer
	entry *Entry
}
