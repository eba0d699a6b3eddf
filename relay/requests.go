package relay

import (
	"bufio"
	"net"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"github.com/pistachiolead/pistachiolead/requestbody"
	"github.com/pistachiolead/pistachiolead/timer"
)

const (
	// frameMemory bounds the bytes of frames that a relay holds while they arrive and are decoded: two of the largest size.
	frameMemory = 2 * maxFrameBytes
	// maxFrameRequests bounds the requests of a frame. It is well above the number that fits into batchBytes.
	maxFrameRequests = 4 * batchBytes / messageBytes
	// frameTimeout bounds the time in which a frame must arrive once its length has. A leader gives up sending one after
	// writeTimeout.
	frameTimeout = 2 * writeTimeout
)

// noDeadline removes a deadline.
var noDeadline time.Time

// requestDecoding decodes frames of requests. A request of one byte (null) would take some 200 bytes when decoded.
var requestDecoding = mustDecMode(cbor.DecOptions{MaxArrayElements: maxFrameRequests})

func mustDecMode(o cbor.DecOptions) cbor.DecMode {
	mode, err := o.DecMode()
	if err != nil {
		panic(err) // can't happen: the options are constants
	}
	return mode
}

// NewFrameBudget returns a budget for the frames of all leaders that are connected to a relay.
func NewFrameBudget(c timer.Clock, s tally.Scope) *requestbody.Budget {
	return &requestbody.Budget{Bytes: frameMemory, Clock: c, Scope: s}
}

// wireRequestFrame is a wireFrame that a relay receives.
type wireRequestFrame struct {
	_        struct{} `cbor:",toarray"`
	ClockMS  int64
	Requests []wireRequest
	Outcomes skipped
}

// skipped is a value that isn't decoded.
type skipped struct{}

// UnmarshalCBOR implements cbor.Unmarshaler.
func (*skipped) UnmarshalCBOR([]byte) error { return nil }

// readRequests reads a frame of requests within the budget.
func readRequests(conn net.Conn, r *bufio.Reader, frames *requestbody.Budget) ([]wireRequest, error) {
	n, err := readFrameSize(r)
	if err != nil {
		return nil, err
	}
	if err := conn.SetReadDeadline(timer.System{}.Now().Add(frameTimeout)); err != nil {
		return nil, errors.Wrap(err, "receive a frame")
	}
	reservation := frames.Reserve(func() { _ = conn.Close() }) // fails if it is closed
	defer reservation.Release()
	data, err := reservation.Read(r, n, maxFrameBytes)
	if err != nil {
		frames.Refused(requestbody.CauseOf(err), conn.LocalAddr().String())
		return nil, errors.Wrap(err, "receive a frame")
	}
	if err := conn.SetReadDeadline(noDeadline); err != nil {
		return nil, errors.Wrap(err, "receive a frame")
	}
	var f wireRequestFrame
	frames.Decode(func() { err = requestDecoding.Unmarshal(data, &f) })
	return f.Requests, errors.Wrap(err, "decode a frame")
}
