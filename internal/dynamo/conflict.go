package dynamo

import (
	"fmt"
	"strings"

	"lavenderrill.dev/lavenderrill/pkg/config"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// Conflict describes a document that was changed after the operator read it.
type Conflict struct {
	Key         config.DocumentKey `json:"key"`
	Base        mesh.Revision      `json:"base"`         // revision that the operator edited
	BasePart    mesh.Digest        `json:"base_part"`    // zero if it did not exist or is no longer known
	Current     mesh.Revision      `json:"current"`      // zero if the document does not exist
	CurrentPart mesh.Digest        `json:"current_part"` // zero if the document does not exist
}

// ConflictError is wrapped by the errors of kind fault.Conflict that Commit
// returns.
type ConflictError struct {
	Conflicts []Conflict
}

// Error implements error.
func (e *ConflictError) Error() string {
	var b strings.Builder
	for i, c := range e.Conflicts {
		if i > 0 {
			b.WriteString("; ")
		}
		fmt.Fprintf(&b, "%s is at revision %d, the edit is based on revision %d", c.Key, c.Current, c.Base)
	}
	return b.String()
}
