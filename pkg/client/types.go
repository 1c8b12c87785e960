package client

import (
	"time"

	"lavenderrill.dev/lavenderrill/pkg/config"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// File is one YAML file of documents.
type File struct {
	Name    string `json:"name"`
	Content string `json:"content"`
}

// Edit is a set of documents to add, change or remove in one version.
type Edit struct {
	Files  []File               `json:"files,omitempty"`
	Remove []config.DocumentKey `json:"remove,omitempty"`
	// Bases holds the revision that each document was edited from. A document
	// that is not listed is compared with its revision at the time of the call.
	Bases map[config.DocumentKey]mesh.Revision `json:"bases,omitempty"`
}

// Plan describes what an edit would change.
type Plan struct {
	Version  mesh.Version         `json:"version"` // version that the edit was compared with
	Text     string               `json:"text"`
	Accounts []mesh.ClientAccount `json:"accounts"` // client accounts that the edit affects
	Empty    bool                 `json:"empty"`
}

// AcceptRequest asks for an edit to be accepted. Repeating a request with the
// same Change returns the version of the first request.
type AcceptRequest struct {
	Change   mesh.ChangeID `json:"change"`
	Operator string        `json:"operator"`
	Edit     Edit          `json:"edit"`
}

// RestoreRequest asks for the content of an old version to be accepted as a
// new one.
type RestoreRequest struct {
	Change   mesh.ChangeID `json:"change"`
	Operator string        `json:"operator"`
	Version  mesh.Version  `json:"version"`
}

// Accepted holds the version that an accepted edit or restore created.
type Accepted struct {
	Version mesh.Version  `json:"version"`
	Change  mesh.ChangeID `json:"change"`
}

// ZoneStatus counts the nodes of one availability zone.
type ZoneStatus struct {
	Zone    mesh.AvailabilityZone `json:"zone"`
	Members int                   `json:"members"`
	Current int                   `json:"current"` // members at or above the requested version
	Lagging []mesh.NodeID         `json:"lagging,omitempty"`
}

// Endpoint is the backend server beside one node.
type Endpoint struct {
	Node    mesh.NodeID           `json:"node"`
	Zone    mesh.AvailabilityZone `json:"zone"`
	Service mesh.Service          `json:"service"`
	State   string                `json:"state"`
	Status  string                `json:"status"`
}

// Status describes the mesh as the node that was asked sees it.
type Status struct {
	Node      mesh.NodeID  `json:"node"`
	Ready     bool         `json:"ready"`
	Version   mesh.Version `json:"version"` // version that the node serves
	Digest    mesh.Digest  `json:"digest"`
	Target    mesh.Version `json:"target"` // version that the zones are compared with
	Converged bool         `json:"converged"`
	Zones     []ZoneStatus `json:"zones"`
	Endpoints []Endpoint   `json:"endpoints"`
}

// HistoryEntry is one accepted version.
type HistoryEntry struct {
	Version   mesh.Version         `json:"version"`
	Change    mesh.ChangeID        `json:"change"`
	Operator  string               `json:"operator"`
	Time      time.Time            `json:"time"`
	Documents []config.DocumentKey `json:"documents"`
	Restored  mesh.Version         `json:"restored,omitempty"` // version whose content was restored
}

// Document is one document of the configuration in YAML.
type Document struct {
	Key      config.DocumentKey `json:"key"`
	Revision mesh.Revision      `json:"revision"`
	Content  string             `json:"content,omitempty"`
}
