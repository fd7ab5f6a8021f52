package peer

import (
	"context"
	"net"

	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/oleanderspool/oleanderspool/internal/peer/peerpb"
)

// Serve serves calls on l until ctx ends. agent is nil in a process that is not
// an agent.
func Serve(ctx context.Context, l net.Listener, process peerpb.DRPCPeerServer, agent peerpb.DRPCAgentServer) error {
	mux := drpcmux.New()
	if err := peerpb.DRPCRegisterPeer(mux, process); err != nil {
		return err
	}
	if agent != nil {
		if err := peerpb.DRPCRegisterAgent(mux, agent); err != nil {
			return err
		}
	}
	server := drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: managerOptions()})
	return server.Serve(ctx, l)
}
