package peer_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pistachiolead/pistachiolead/peer"
)

// Guards against the loss of flags and counts when a digest is encoded. Without the flag recognized no entry VM would
// ever accept a configuration change, and without the count uncovered the slices of a lost entry VM could be returned
// too early.
func TestDigestPreservesFlags(t *testing.T) {
	var e peer.DigestEncoder
	var d peer.DigestDecoder
	now := time.Unix(1000, 0)
	for i, uncovered := range []int{3, 0, 7} {
		sent := peer.NewDigest("entry-a-1", 5, 11, true).WithUncovered(uncovered).WithRecognized(i%2 == 0).WithDraining(i == 1)
		acknowledged := d.LastDecoded()
		got, ok := d.Decode(e.Encode(sent, acknowledged, now))
		assert.Assert(t, ok)
		assert.Equal(t, got.Uncovered(), uncovered)
		assert.Equal(t, got.Recognized(), i%2 == 0)
		assert.Equal(t, got.Draining(), i == 1)
	}
}
