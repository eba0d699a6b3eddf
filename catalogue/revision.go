package catalogue

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/pistachiolead/pistachiolead/provider"
)

// Revision describes one configuration change. The latest one is stored in the row VersionKey.
type Revision struct {
	version     uint64
	author      string
	changedAt   time.Time
	description string
}

// Version returns the configuration version that the change created, 0 if there was no change yet.
func (r Revision) Version() uint64 { return r.version }

// Author returns the author of the change.
func (r Revision) Author() string { return r.author }

// ChangedAt returns the time of the change, in UTC.
func (r Revision) ChangedAt() time.Time { return r.changedAt }

// Description returns a one-line description of the change.
func (r Revision) Description() string { return r.description }

// String returns the version, author, time and description in one line.
func (r Revision) String() string {
	return fmt.Sprintf("version %d by %s at %s: %s", r.version, r.author, r.changedAt.Format(time.RFC3339), r.description)
}

// ConflictError returns an error for a transaction that failed because of a concurrent change. The row is the one that
// the table returned with the conflict. If it is the row VersionKey, the error describes the change that was committed
// first.
func ConflictError(row provider.Row) error {
	if row.Key() != VersionKey {
		return errors.Errorf("conflict: row %s was changed concurrently", row.Key())
	}
	if row.Version() == 0 || row.Deleted() {
		return errors.New("conflict: the configuration no longer exists")
	}
	r, err := decodeRevision(row.Value())
	if err != nil {
		return errors.Wrap(err, "conflict with an unreadable configuration version")
	}
	return errors.Errorf("conflict with %s", r)
}

// revisionRow is the JSON value of the row VersionKey.
type revisionRow struct {
	Version uint64    `json:"version"`
	By      string    `json:"by"`
	When    time.Time `json:"when"`
	What    string    `json:"what"`
}

func (r Revision) encode() []byte {
	return encodeJSON(revisionRow{Version: r.version, By: r.author, When: r.changedAt, What: r.description})
}

func decodeRevision(data []byte) (Revision, error) {
	var row revisionRow
	if err := json.Unmarshal(data, &row); err != nil {
		return Revision{}, errors.Wrap(err, "decode configuration version")
	}
	return Revision{version: row.Version, author: row.By, changedAt: row.When, description: row.What}, nil
}
