package peer

import "github.com/pistachiolead/pistachiolead/peer/peerwire"

// Position identifies one of the digests that an encoder has made. Its zero value identifies none.
type Position struct {
	stream   uint32
	sequence uint64
}

// Sequence returns the number of the digest, counted from 1 for each encoder.
func (p Position) Sequence() uint64 { return p.sequence }

// heardIn returns the position of the last digest that the sender of w decoded.
func heardIn(w *peerwire.Digest) Position {
	return Position{stream: w.GetHeardStream(), sequence: w.GetHeard()}
}

func withHeard(w *peerwire.Digest, p Position) *peerwire.Digest {
	w.HeardStream, w.Heard = p.stream, p.sequence
	return w
}
