package mesh

import (
	"fmt"
	"regexp"
)

// NodeID identifies one lavenderrill node for the lifetime of its process. A
// replacement VM has a new NodeID.
type NodeID string

// AvailabilityZone names the availability zone of a VM.
type AvailabilityZone string

// ClientAccount names a client account of the operations team.
type ClientAccount string

// Instance identifies one run of a backend server, from its start to its exit.
type Instance string

// Service names a group of interchangeable backend servers.
type Service string

// SoftwareVersion names the version of the software that a backend server runs.
type SoftwareVersion string

// Rank names a priority class. Its order, target latency and worth come from
// the fleet document of the configuration.
type Rank string

// RequestID identifies one request of one caller.
type RequestID string

// ChangeID identifies one accept or restore operation. Repeating an operation
// with the same ChangeID has no further effect.
type ChangeID string

// Version numbers the accepted configurations of one mesh. Versions increase
// by one with every accepted change; zero means that there is no configuration.
type Version uint64

// Revision numbers the accepted contents of one document. Revisions increase
// by one with every accepted edit; zero means that the document does not exist.
type Revision uint64

// Addr is a host and port, with the host given as an IP address.
type Addr string

// namePattern allows only names that are valid in headers, table keys and paths.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// CheckName returns an error unless s is a valid name of a service, rank,
// template, client account or availability zone: 1 to 63 lower-case letters,
// digits and hyphens, beginning and ending with a letter or digit.
func CheckName(s string) error {
	if namePattern.MatchString(s) {
		return nil
	}
	return fmt.Errorf("%q is not a name: want 1 to 63 lower-case letters, digits and inner hyphens", s)
}
