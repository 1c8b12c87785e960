package caller

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"lavenderrill.dev/lavenderrill/pkg/config"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// accountGroups is the number of groups of client accounts that are throttled apart. It
// bounds the memory for any number of accounts.
const accountGroups = 16

// throttleRank returns the rank under which q is throttled. Refusals of a client account
// that sends too much must not throttle the others that use this node.
func throttleRank(q *call) mesh.Rank {
	s := q.table.Snapshot()
	if q.account == "" || len(s.ClientAccounts) == 0 || s.Placement != config.PlaceByFinish {
		return q.rank()
	}
	group := xxhash.Sum64String(string(q.account)) % accountGroups
	return q.rank() + "/group-" + mesh.Rank(strconv.FormatUint(group, 10))
}
