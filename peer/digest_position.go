package peer

import "github.com/pistachiolead/pistachiolead/peer/peerwire"

// DigestPosition identifies a digest: the encoder that made it, by its random stream, and the number of the digest in
// the stream. The zero value identifies no digest.
type DigestPosition struct {
	stream   uint32
	sequence uint64
}

// Sequence returns the number of the digest in its stream, counted from 1.
func (p DigestPosition) Sequence() uint64 { return p.sequence }

// acknowledgedPosition returns the position of the last digest that the sender of w acknowledges as decoded.
func acknowledgedPosition(w *peerwire.Digest) DigestPosition {
	return DigestPosition{stream: w.GetHeardStream(), sequence: w.GetHeard()}
}

// withAcknowledgedPosition sets the position that w acknowledges as decoded, and returns w.
func withAcknowledgedPosition(w *peerwire.Digest, p DigestPosition) *peerwire.Digest {
	w.HeardStream, w.Heard = p.stream, p.sequence
	return w
}
