package fleet

import (
	"encoding/base64"

	"github.com/pistachiolead/pistachiolead/provider"
)

const (
	// maxCommitEntries and maxCommitBytes are the limits of the store for one transaction, with what the committer adds.
	maxCommitEntries = 100
	maxCommitBytes   = 1_000_000
	// committerEntries are the condition and the write of the committer's own row.
	committerEntries = 2
	// jobShare is the share of a commit that rows of jobs take at most, so that they don't hold up the others.
	jobShare = 0.8

	entryFrameBytes = 256 // of an entry on the wire without its key and its value
	maxEscapedBytes = 6   // of one byte of a key in a JSON string
)

// commitSize is an upper bound of the size of a transaction on the wire, where values are in base64.
type commitSize struct{ entries, bytes int }

func entrySize(key string, value []byte) commitSize {
	return commitSize{entries: 1, bytes: entryFrameBytes + maxEscapedBytes*len(key) + base64.StdEncoding.EncodedLen(len(value))}
}

func writesSize(writes []provider.Write) commitSize {
	total := commitSize{}
	for _, w := range writes {
		total = total.plus(entrySize(w.Key(), w.Value()))
	}
	return total
}

func (z commitSize) plus(other commitSize) commitSize {
	return commitSize{entries: z.entries + other.entries, bytes: z.bytes + other.bytes}
}

// within reports whether a transaction of this size takes at most the given share of what the store accepts.
func (z commitSize) within(share float64) bool {
	return float64(z.entries) <= share*maxCommitEntries && float64(z.bytes) <= share*maxCommitBytes
}
