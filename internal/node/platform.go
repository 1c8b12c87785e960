package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"go.uber.org/zap"

	"lavenderrill.dev/lavenderrill/internal/dynamo"
	"lavenderrill.dev/lavenderrill/internal/peer"
	"lavenderrill.dev/lavenderrill/internal/wait"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

const (
	// maxJoinRows bounds the rows that a node reads at its start, so that in a
	// restart of the fleet not every node reads the whole table.
	maxJoinRows = 32
	// minRegistrationSpread is the shortest time over which registrations are spread.
	minRegistrationSpread = 2 * time.Second
	// registrationSpreadPerMember scales the spread with the size of the mesh. If
	// all nodes start at once, they write 100 rows per second, a third of the
	// platform's planned write rate.
	registrationSpreadPerMember = 10 * time.Millisecond
	// registrationDelay is the time in which the node learns of the other members,
	// whose number determines the spread.
	registrationDelay          = time.Second
	initialRegistrationBackoff = time.Second
	maxRegistrationBackoff     = time.Minute
)

// source returns the platform operations that the peer uses.
func (n *Node) source() peer.Source {
	return peer.Source{
		Head:     n.head,
		Manifest: n.platform.Manifest,
		Part:     n.platform.Part,
		Nodes:    n.registeredAddrs,
	}
}

// head reads the newest version. It is 0 if the table does not exist yet.
func (n *Node) head(ctx context.Context) (mesh.Version, mesh.Digest, error) {
	h, err := n.platform.PollHead(ctx)
	if isTableMissing(err) {
		return 0, mesh.Digest{}, nil
	}
	return h.Version, h.Digest, err
}

func (n *Node) registeredAddrs(ctx context.Context) ([]mesh.Addr, error) {
	rows, err := n.platform.Nodes(ctx, maxJoinRows)
	if isTableMissing(err) {
		return nil, nil
	}
	var addrs []mesh.Addr
	for _, r := range rows {
		if r.ID != n.id {
			addrs = append(addrs, r.Addr)
		}
	}
	return addrs, err
}

func isTableMissing(err error) bool {
	var notFound *types.ResourceNotFoundException
	return errors.As(err, &notFound)
}

// register writes the row of this node, and creates the table and the bucket
// if they do not exist. It then waits until ctx is done.
func (n *Node) register(ctx context.Context) error {
	if wait.For(ctx, registrationDelay) != nil {
		return nil
	}
	backoff := initialRegistrationBackoff
	delay := time.Duration(rand.Int64N(int64(registrationSpread(len(n.peer.Members())))))
	for {
		if wait.For(ctx, delay) != nil {
			return nil
		}
		err := n.writeNodeRow(ctx)
		if err == nil {
			<-ctx.Done()
			return nil
		}
		n.log.Warn("failed to write the row of this node; retrying", zap.Error(err), zap.Duration("retry", backoff))
		delay = backoff/2 + time.Duration(rand.Int64N(int64(backoff)))
		backoff = min(2*backoff, maxRegistrationBackoff)
	}
}

// registrationSpread returns the time over which nodes that start together spread
// their writes in a mesh of the given number of members.
func registrationSpread(members int) time.Duration {
	return max(minRegistrationSpread, time.Duration(members)*registrationSpreadPerMember)
}

func (n *Node) writeNodeRow(ctx context.Context) error {
	row := dynamo.NodeRow{ID: n.id, Addr: n.advertisedAddr(), Zone: mesh.AvailabilityZone(n.nodeSettings.Zone)}
	err := n.platform.WriteNode(ctx, row)
	if !isTableMissing(err) {
		return err
	}
	if err := n.platform.EnsureSchema(ctx); err != nil {
		return err
	}
	return n.platform.WriteNode(ctx, row)
}
