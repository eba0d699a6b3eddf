package catalogue

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/pistachiolead/pistachiolead/provider"
)

// Revision is the content of the row config/version: the number of the last configuration change, and who made it.
type Revision struct {
	version uint64
	by      string
	when    time.Time
	what    string
}

// Version returns the number of the change, 0 if there was none.
func (r Revision) Version() uint64 { return r.version }

// By returns who made the change.
func (r Revision) By() string { return r.by }

// When returns when the change was made.
func (r Revision) When() time.Time { return r.when }

// What returns a short description of the change.
func (r Revision) What() string { return r.what }

// String returns the revision as one line for operators.
func (r Revision) String() string {
	return fmt.Sprintf("version %d by %s at %s: %s", r.version, r.by, r.when.Format(time.RFC3339), r.what)
}

// ConflictError returns an error that names the change that won, from the row config/version that a conflict returned.
func ConflictError(row provider.Row) error {
	if row.Key() != VersionKey {
		return errors.Errorf("conflict: row %s was changed by someone else", row.Key())
	}
	if row.Version() == 0 || row.Deleted() {
		return errors.New("conflict: the configuration no longer exists")
	}
	r, err := decodeRevision(row.Value())
	if err != nil {
		return errors.Wrap(err, "conflict with a change that can't be read")
	}
	return errors.Errorf("conflict with %s", r)
}

type revisionRow struct {
	Version uint64    `json:"version"`
	By      string    `json:"by"`
	When    time.Time `json:"when"`
	What    string    `json:"what"`
}

func (r Revision) encode() []byte {
	return encodeJSON(revisionRow{Version: r.version, By: r.by, When: r.when, What: r.what})
}

func decodeRevision(data []byte) (Revision, error) {
	var w revisionRow
	if err := json.Unmarshal(data, &w); err != nil {
		return Revision{}, errors.Wrap(err, "decode configuration version")
	}
	return Revision{version: w.Version, by: w.By, when: w.When, what: w.What}, nil
}
