package peer

import (
	"context"

	"google.golang.org/protobuf/proto"

	"github.com/pistachiolead/pistachiolead/peer/peerwire"
	"github.com/pistachiolead/pistachiolead/provider"
)

// relay accesses the platform's table through a peer.
type relay struct{ client *Client }

var _ provider.Table = relay{}

// Commit implements provider.Table.
func (r relay) Commit(ctx context.Context, t provider.Transaction) provider.CommitOutcome {
	w := transactionToWire(t)
	if proto.Size(w) > MaxMessageBytes {
		return provider.NewUnavailable("the transaction exceeds the limit of 8 MiB for a relayed commit")
	}
	reply, err := r.client.rpc.Commit(ctx, w)
	if err != nil {
		if r.client.undelivered(err) {
			return provider.NewUnavailable(err.Error())
		}
		return provider.NewOutcomeUnknown(err.Error())
	}
	return commitFromWire(reply)
}

// Scan implements provider.Table.
func (r relay) Scan(ctx context.Context, prefix string, since uint64) provider.ScanOutcome {
	reply, err := r.client.rpc.Scan(ctx, &peerwire.ScanRequest{Prefix: prefix, Since: since})
	if err != nil {
		// A scan has no side effects, so it doesn't matter whether the peer received it. The call only counts the
		// failure.
		r.client.undelivered(err)
		return provider.NewUnavailable(err.Error())
	}
	return scanFromWire(reply)
}
