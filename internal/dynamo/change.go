package dynamo

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"lavenderrill.dev/lavenderrill/pkg/config"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// Edit creates, replaces or removes one document.
type Edit struct {
	Key  config.DocumentKey
	Base mesh.Revision // revision that the operator edited; 0 creates the document
	Part config.Part   // nil removes the document
}

// Change is a set of edits that is accepted as one version.
type Change struct {
	ID       mesh.ChangeID
	Operator string
	Edits    []Edit
}

// MaxEdits bounds the edits of one Change: a table transaction holds at most
// 100 rows, and head, change and history take three.
const MaxEdits = 97

const (
	maxChangeIDBytes = 128
	maxOperatorBytes = 256
)

func checkIDAndOperator(id mesh.ChangeID, operator string) error {
	if id == "" || len(id) > maxChangeIDBytes {
		return fault.Newf(fault.BadRequest, "change id has %d bytes, want 1 to %d", len(id), maxChangeIDBytes)
	}
	if len(operator) > maxOperatorBytes {
		return fault.Newf(fault.BadRequest, "operator has %d bytes, want at most %d", len(operator), maxOperatorBytes)
	}
	return nil
}

// Check returns an error of kind fault.BadRequest or fault.InvalidConfig if c is
// malformed. It does not compare c with the current configuration.
func (c Change) Check() error {
	if err := checkIDAndOperator(c.ID, c.Operator); err != nil {
		return err
	}
	if len(c.Edits) == 0 || len(c.Edits) > MaxEdits {
		return fault.Newf(fault.BadRequest, "change has %d edits, want 1 to %d", len(c.Edits), MaxEdits)
	}
	seen := make(map[config.DocumentKey]bool, len(c.Edits))
	for _, e := range c.Edits {
		if err := e.check(); err != nil {
			return err
		}
		if seen[e.Key] {
			return fault.Newf(fault.BadRequest, "change edits %s twice", e.Key)
		}
		seen[e.Key] = true
	}
	return nil
}

func (e Edit) check() error {
	if err := config.CheckKey(e.Key); err != nil {
		return fault.Newf(fault.BadRequest, "%w", err)
	}
	if e.Part == nil {
		if e.Base == 0 {
			return fault.Newf(fault.BadRequest, "removal of %s requires a base revision", e.Key)
		}
		return nil
	}
	k, err := e.Part.Key()
	if err != nil {
		return fault.Newf(fault.InvalidConfig, "%s: %w", e.Key, err)
	}
	if k != e.Key {
		return fault.Newf(fault.InvalidConfig, "part of %s contains document %s", e.Key, k)
	}
	return nil
}

// digest identifies the content of c, so that a change id cannot be used for two
// different changes.
func (c Change) digest() mesh.Digest {
	h := []byte("edits")
	for _, e := range c.Edits {
		h = fmt.Appendf(h, "\n%s %d", e.Key, e.Base)
		if e.Part != nil {
			h = fmt.Appendf(h, " %s", e.Part.Digest())
		}
	}
	return mesh.DigestOf(h)
}

// Record is one accepted version.
type Record struct {
	Version   mesh.Version   `json:"version"`
	Digest    mesh.Digest    `json:"digest"` // digest of the manifest
	Change    mesh.ChangeID  `json:"change"`
	Operator  string         `json:"operator"`
	Time      time.Time      `json:"time"`
	Restored  mesh.Version   `json:"restored,omitempty"` // version whose content was restored
	Documents []config.Entry `json:"documents"`          // entries after the change; a zero part means removed
	Omitted   int            `json:"omitted,omitempty"`  // number of documents left out of Documents
}

// maxRecordDocuments bounds Record.Documents, because a row holds at most 400 KB.
const maxRecordDocuments = 1_000

// setDocuments sets the documents of r and the number omitted.
func (r *Record) setDocuments(es []config.Entry) {
	n := min(len(es), maxRecordDocuments)
	r.Documents, r.Omitted = es[:n], len(es)-n
}

// rows returns the change row and the history row of r. contentDigest is the
// digest of the change itself.
func (r Record) rows(contentDigest mesh.Digest) (change, history item, err error) {
	docs, err := json.Marshal(struct {
		Documents []config.Entry `json:"documents"`
		Omitted   int            `json:"omitted"`
	}{r.Documents, r.Omitted})
	if err != nil {
		return nil, nil, err
	}
	fill := func(i item) item {
		i[versionName] = number(uint64(r.Version))
		i[digestName] = text(r.Digest.String())
		i[changeName] = text(string(r.Change))
		i[operatorName] = text(r.Operator)
		i[timeName] = number(milliseconds(r.Time))
		i[restoredName] = number(uint64(r.Restored))
		i[docsName] = text(string(docs))
		return i
	}
	change = fill(newItem(changePartition, string(r.Change)))
	change[contentName] = text(contentDigest.String())
	return change, fill(newItem(historyPartition, historyKey(r.Version))), nil
}

func historyKey(v mesh.Version) string { return fmt.Sprintf("%020d", v) }

func (i item) record() (Record, error) {
	r := Record{
		Version:  mesh.Version(i.number(versionName)),
		Digest:   i.digest(digestName),
		Change:   mesh.ChangeID(i.text(changeName)),
		Operator: i.text(operatorName),
		Time:     time.UnixMilli(int64(i.number(timeName))).UTC(),
		Restored: mesh.Version(i.number(restoredName)),
	}
	if r.Version == 0 || r.Digest.IsZero() {
		return Record{}, fault.Newf(fault.Internal, "%s/%s: %w", i.text(pkName), i.text(skName), errUnreadableRow)
	}
	if err := json.Unmarshal([]byte(i.text(docsName)), &r); err != nil {
		return Record{}, fault.Newf(fault.Internal, "%s/%s: %w: %w", i.text(pkName), i.text(skName), errUnreadableRow, err)
	}
	return r, nil
}

// Change returns the version that the change of the given id made, or an error
// of kind fault.NotFound if the change has not been accepted.
func (c *Client) Change(ctx context.Context, id mesh.ChangeID) (Record, error) {
	r, _, err := c.change(ctx, id)
	if err == nil && r.Version == 0 {
		return Record{}, fault.Newf(fault.NotFound, "change %q has not been accepted", id)
	}
	return r, err
}

// change returns the record of a change with the digest of its content, and a
// zero record if there is none.
func (c *Client) change(ctx context.Context, id mesh.ChangeID) (Record, mesh.Digest, error) {
	i, err := c.getRow(ctx, c.readOp("get_change"), changePartition, string(id))
	if err != nil || i == nil {
		return Record{}, mesh.Digest{}, err
	}
	r, err := i.record()
	return r, i.digest(contentName), err
}
