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
	// joinRows bounds the rows read at a start, so that a restarted fleet does
	// not read the whole table once per node.
	joinRows = 32
	// registerSpread is the least time over which registrations are spread.
	registerSpread = 2 * time.Second
	// registerPerMember lengthens the spread with the size of the mesh. If all
	// nodes start at once, 100 rows are written per second, a third of the write
	// rate that the platform is planned with.
	registerPerMember = 10 * time.Millisecond
	// settleTime is the wait for the first view of the members.
	settleTime    = time.Second
	registerPause = time.Second
	registerLimit = time.Minute
)

// source returns the part of the platform that the peer reads.
func (n *Node) source() peer.Source {
	return peer.Source{
		Head:     n.head,
		Manifest: n.platform.Manifest,
		Part:     n.platform.Part,
		Nodes:    n.nodes,
	}
}

// head reads the newest version. A table that does not exist yet holds none.
func (n *Node) head(ctx context.Context) (mesh.Version, mesh.Digest, error) {
	h, err := n.platform.PollHead(ctx)
	if noTable(err) {
		return 0, mesh.Digest{}, nil
	}
	return h.Version, h.Digest, err
}

func (n *Node) nodes(ctx context.Context) ([]mesh.Addr, error) {
	rows, err := n.platform.Nodes(ctx, joinRows)
	if noTable(err) {
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

func noTable(err error) bool {
	var missing *types.ResourceNotFoundException
	return errors.As(err, &missing)
}

// register writes the row of this node, and creates the table and the bucket
// if they do not exist. It then waits for the end of ctx.
func (n *Node) register(ctx context.Context) error {
	if wait.For(ctx, settleTime) != nil {
		return nil
	}
	pause := registerPause
	delay := time.Duration(rand.Int64N(int64(registrationSpread(len(n.peer.Members())))))
	for {
		if wait.For(ctx, delay) != nil {
			return nil
		}
		err := n.writeRow(ctx)
		if err == nil {
			<-ctx.Done()
			return nil
		}
		n.log.Warn("cannot write the row of this node", zap.Error(err), zap.Duration("retry", pause))
		delay = pause/2 + time.Duration(rand.Int64N(int64(pause)))
		pause = min(2*pause, registerLimit)
	}
}

// registrationSpread returns the time over which members nodes that start
// together spread their writes.
func registrationSpread(members int) time.Duration {
	return max(registerSpread, time.Duration(members)*registerPerMember)
}

func (n *Node) writeRow(ctx context.Context) error {
	row := dynamo.NodeRow{ID: n.id, Addr: n.advertised(), Zone: mesh.AvailabilityZone(n.set.Zone)}
	err := n.platform.WriteNode(ctx, row)
	if !noTable(err) {
		return err
	}
	if err := n.platform.EnsureSchema(ctx); err != nil {
		return err
	}
	return n.platform.WriteNode(ctx, row)
}
