package relay

import (
	"encoding/binary"
	"io"
	"net"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/pistachiolead/pistachiolead/backend"
	"github.com/pistachiolead/pistachiolead/fleet"
	"github.com/pistachiolead/pistachiolead/timer"
	"github.com/pistachiolead/pistachiolead/workload"
)

const (
	// maxFrameBytes bounds the size of a frame. It is well above the largest report of a backend server.
	maxFrameBytes = 4 << 20
	// batchBytes is the size from which a batch gets no more messages, so that a frame takes a part of writeTimeout on a slow link.
	batchBytes = 64 << 10
	// messageBytes is the size of a message or of a run in one, without its strings.
	messageBytes = 64
)

type requestKind uint8

const (
	pollRequest requestKind = iota + 1
	startRequest
	stopRequest
	paceRequest
)

// wireRun identifies a run of a task.
type wireRun struct {
	_          struct{} `cbor:",toarray"`
	Job        string
	Occurrence int
	Step       int
	Index      int
	Number     int
}

// wireRequest is a request to a backend server. Fields that its kind doesn't use are zero.
type wireRequest struct {
	_               struct{} `cbor:",toarray"`
	ID              uint64
	Kind            requestKind
	Server          string
	Address         string
	Token           uint64
	Run             wireRun
	LeaseExpiryMS   int64
	Specification   string
	Checkpoint      string
	Ticket          string
	ValidUntilMS    int64 // by the relay's clock; 0 if the request doesn't expire
	AcknowledgedEnd int64
	MaxWaitMS       int64
	Percent         int
}

// size returns the approximate size of the encoded request.
func (w *wireRequest) size() int {
	return messageBytes + len(w.Server) + len(w.Address) + len(w.Run.Job) + len(w.Specification) + len(w.Checkpoint) + len(w.Ticket)
}

type outcomeKind uint8

const (
	accepted outcomeKind = iota + 1
	refused
	unknown
	reported
)

type wireActiveRun struct {
	_           struct{} `cbor:",toarray"`
	Run         wireRun
	Checkpoint  string
	Percent     int
	Measurement int64
}

type wireEnd struct {
	_          struct{} `cbor:",toarray"`
	Number     int64
	Run        wireRun
	Kind       string
	Checkpoint string
}

// wireOutcome is the outcome of the request with the same ID.
type wireOutcome struct {
	_           struct{} `cbor:",toarray"`
	ID          uint64
	Kind        outcomeKind
	Reason      string
	ClockMS     int64 // of the backend server
	Incarnation int64
	Running     []wireActiveRun
	Ends        []wireEnd
}

// size returns the approximate size of the encoded outcome.
func (w *wireOutcome) size() int {
	size := messageBytes + len(w.Reason)
	for i := range w.Running {
		size += messageBytes + len(w.Running[i].Run.Job) + len(w.Running[i].Checkpoint)
	}
	for i := range w.Ends {
		size += messageBytes + len(w.Ends[i].Run.Job) + len(w.Ends[i].Checkpoint)
	}
	return size
}

// wireFrame is a batch of messages. The leader sends requests, the relay outcomes, and both send empty frames if they
// have nothing else to send.
type wireFrame struct {
	_        struct{} `cbor:",toarray"`
	ClockMS  int64    // of the sender
	Requests []wireRequest
	Outcomes []wireOutcome
}

// observedReader calls received whenever bytes of a connection were received.
type observedReader struct {
	conn     net.Conn
	received func()
}

// Read implements io.Reader.
func (r observedReader) Read(p []byte) (int, error) {
	n, err := r.conn.Read(p)
	if n > 0 {
		r.received()
	}
	return n, err //nolint:wrapcheck // readers compare it
}

// writeFrame sends a frame within writeTimeout.
func writeFrame(conn net.Conn, f wireFrame) error {
	data, err := cbor.Marshal(f)
	if err != nil {
		return errors.Wrap(err, "encode a frame")
	}
	frame := binary.BigEndian.AppendUint32(make([]byte, 0, len(data)+4), uint32(len(data)))
	if err := conn.SetWriteDeadline(timer.System{}.Now().Add(writeTimeout)); err != nil {
		return errors.Wrap(err, "send a frame")
	}
	_, err = conn.Write(append(frame, data...))
	return errors.Wrap(err, "send a frame")
}

// readFrame reads a frame of a relay, which the leader has selected.
func readFrame(r io.Reader) (wireFrame, error) {
	var f wireFrame
	n, err := readFrameSize(r)
	if err != nil {
		return f, err
	}
	data := make([]byte, n)
	if _, err := io.ReadFull(r, data); err != nil {
		return f, errors.Wrap(err, "receive a frame")
	}
	return f, errors.Wrap(cbor.Unmarshal(data, &f), "decode a frame")
}

// readFrameSize reads the length of a frame.
func readFrameSize(r io.Reader) (int, error) {
	var size [4]byte
	if _, err := io.ReadFull(r, size[:]); err != nil {
		return 0, errors.Wrap(err, "receive a frame")
	}
	n := binary.BigEndian.Uint32(size[:])
	if n > maxFrameBytes {
		return 0, errors.Errorf("receive a frame: found %d bytes, allowed: %d", n, maxFrameBytes)
	}
	return int(n), nil
}

func encodeRun(r backend.Run) wireRun {
	return wireRun{
		Job: r.Task.Job, Occurrence: r.Task.Occurrence, Step: r.Task.Step, Index: r.Task.Index, Number: r.Number,
	}
}

func (w wireRun) decode() backend.Run {
	return backend.Run{
		Task:   workload.TaskID{Job: w.Job, Occurrence: w.Occurrence, Step: w.Step, Index: w.Index},
		Number: w.Number,
	}
}

// encodeRequest encodes a request to a backend server. It reports whether the effect is one. The leader's time
// validUntil is returned separately, as it has to be converted to the relay's clock.
func encodeRequest(id uint64, e fleet.Effect) (w wireRequest, validUntil time.Time, ok bool) {
	w.ID = id
	var t backend.Target
	switch e := e.(type) {
	case fleet.Poll:
		t = e.Target
		w.Kind, w.Token, w.AcknowledgedEnd = pollRequest, e.Request.Token, e.Request.AcknowledgedEnd
		w.LeaseExpiryMS, w.MaxWaitMS = e.Request.LeaseExpiry.Milliseconds(), e.Request.MaxWait.Milliseconds()
	case fleet.Start:
		t = e.Target
		w.Kind, w.Token, w.Run = startRequest, e.Request.Token, encodeRun(e.Request.Run)
		w.LeaseExpiryMS, w.Specification = e.Request.LeaseExpiry.Milliseconds(), e.Request.Specification
		w.Checkpoint, w.Ticket, validUntil = e.Request.Checkpoint, e.Request.Ticket, e.ValidUntil
	case fleet.Stop:
		t = e.Target
		w.Kind, w.Token, w.Run = stopRequest, e.Token, encodeRun(e.Run)
	case fleet.Pace:
		t = e.Target
		w.Kind, w.Token, w.Run, w.Percent = paceRequest, e.Token, encodeRun(e.Run), e.Percent
	default:
		return w, validUntil, false
	}
	w.Server, w.Address = t.ID, t.Address
	return w, validUntil, true
}

func encodeOutcome(id uint64, outcome backend.Outcome) wireOutcome {
	w := wireOutcome{ID: id}
	switch o := outcome.(type) {
	case backend.Accepted:
		w.Kind, w.ClockMS = accepted, o.Clock.Milliseconds()
	case backend.Refused:
		w.Kind, w.Reason = refused, string(o.Reason)
	case backend.OutcomeUnknown:
		w.Kind, w.Reason = unknown, o.Reason
	case backend.Reported:
		w.Kind, w.ClockMS, w.Incarnation = reported, o.Report.Clock.Milliseconds(), o.Report.Incarnation
		for _, r := range o.Report.Running {
			w.Running = append(w.Running, wireActiveRun{
				Run: encodeRun(r.Run), Checkpoint: r.Checkpoint, Percent: r.Percent, Measurement: r.Measurement,
			})
		}
		for _, e := range o.Report.Ends {
			w.Ends = append(w.Ends, wireEnd{
				Number: e.Number, Run: encodeRun(e.Run), Kind: string(e.Kind), Checkpoint: e.Checkpoint,
			})
		}
	}
	return w
}

func (w wireOutcome) decode() backend.Outcome {
	clock := time.Duration(w.ClockMS) * time.Millisecond
	switch w.Kind {
	case accepted:
		return backend.Accepted{Clock: clock}
	case refused:
		return backend.Refused{Reason: backend.RefusalReason(w.Reason)}
	case reported:
		report := backend.Report{
			Incarnation: w.Incarnation, Clock: clock,
			Running: make([]backend.ActiveRun, 0, len(w.Running)), Ends: make([]backend.RunEnd, 0, len(w.Ends)),
		}
		for _, r := range w.Running {
			report.Running = append(report.Running, backend.ActiveRun{
				Run: r.Run.decode(), Checkpoint: r.Checkpoint, Percent: r.Percent, Measurement: r.Measurement,
			})
		}
		for _, e := range w.Ends {
			report.Ends = append(report.Ends, backend.RunEnd{
				Number: e.Number, Run: e.Run.decode(), Kind: workload.EndKind(e.Kind), Checkpoint: e.Checkpoint,
			})
		}
		return backend.Reported{Report: report}
	case unknown:
		return backend.OutcomeUnknown{Reason: w.Reason}
	}
	return backend.OutcomeUnknown{Reason: "the relay sent an outcome of an unknown kind"}
}

// outcomeEvent returns the event of the control state for the outcome of a request.
func outcomeEvent(e fleet.Effect, o backend.Outcome) fleet.Event {
	switch e := e.(type) {
	case fleet.Poll:
		return fleet.PollEnded{Server: e.Target.ID, Incarnation: e.Target.Incarnation, Sequence: e.Sequence, Outcome: o}
	case fleet.Start:
		return fleet.StartEnded{Server: e.Target.ID, Incarnation: e.Target.Incarnation, Run: e.Request.Run, Outcome: o}
	case fleet.Stop:
		return fleet.StopEnded{Server: e.Target.ID, Incarnation: e.Target.Incarnation, Run: e.Run, Outcome: o}
	case fleet.Pace:
		return fleet.PaceEnded{Server: e.Target.ID, Run: e.Run, Percent: e.Percent, Outcome: o}
	}
	panic("outcomeEvent: the effect isn't a request to a backend server")
}
