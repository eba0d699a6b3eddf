package remote

import (
	"context"
	"fmt"
	"time"

	"github.com/pistachiolead/pistachiolead/provider"
)

// Backend is a client of one backend server. It opens at most 60 connections (requirement R18 in docs/design.md).
type Backend struct {
	// Address is host:port of the backend server's VM.
	Address string

	runClient     jsonClient
	controlClient jsonClient
}

var _ provider.BackendServer = (*Backend)(nil)

// Names of outcomes in JSON.
const (
	outcomeGranted      = "granted"
	outcomeHeld         = "held"
	outcomeRefused      = "refused"
	outcomeReleased     = "released"
	outcomeReport       = "report"
	outcomeAnswer       = "answer"
	outcomeStaleEpoch   = "stale-epoch"
	outcomeNeverStarted = "never-started"
	outcomeStillRunning = "still-running"
	outcomeSignalled    = "signalled"
	outcomeNotRunning   = "not-running"
)

// signalNames are the names of signals in JSON.
var signalNames = map[provider.Signal]string{
	provider.SignalCheckpoint: "checkpoint",
	provider.SignalThrottle:   "throttle",
	provider.SignalStop:       "stop",
}

type (
	acquireRequest struct {
		Holder string `json:"holder"`
		Zone   string `json:"zone"`
	}
	// epochRequest is the body of release and report.
	epochRequest struct {
		Epoch uint64 `json:"epoch"`
	}
	runRequest struct {
		Epoch   uint64    `json:"epoch"`
		ID      string    `json:"id"`
		Attempt int       `json:"attempt"`
		Entry   string    `json:"entry"`
		Team    string    `json:"team"`
		Shape   shapeWire `json:"shape"`
		Payload []byte    `json:"payload,omitempty"`
	}
	// attemptRequest is the body of close and signal.
	attemptRequest struct {
		Epoch   uint64 `json:"epoch"`
		ID      string `json:"id"`
		Attempt int    `json:"attempt"`
		Signal  string `json:"signal,omitempty"`
	}
	statusWire struct {
		ID       string    `json:"id"`
		Attempt  int       `json:"attempt"`
		Entry    string    `json:"entry"`
		Team     string    `json:"team"`
		Shape    shapeWire `json:"shape"`
		Finished bool      `json:"finished,omitempty"`
		Holder   string    `json:"holder,omitempty"`
	}
	answerWire struct {
		ID       string `json:"id"`
		Attempt  int    `json:"attempt"`
		OK       bool   `json:"ok"`
		Stopped  bool   `json:"stopped,omitempty"`
		Length   int    `json:"length"`
		Checksum uint64 `json:"checksum"`
		Output   []byte `json:"output,omitempty"`
	}
	// backendResponse is the response to every operation. The outcome determines which other fields are set.
	backendResponse struct {
		Outcome    string       `json:"outcome"`
		Reason     string       `json:"reason,omitempty"`
		Epoch      uint64       `json:"epoch,omitempty"`
		DurationNs int64        `json:"duration-ns,omitempty"`
		Holder     string       `json:"holder,omitempty"`
		Usage      *shapeWire   `json:"usage,omitempty"`
		Tasks      []statusWire `json:"tasks,omitempty"`
		Answer     *answerWire  `json:"answer,omitempty"`
	}
)

// Acquire implements provider.BackendServer.
func (b *Backend) Acquire(ctx context.Context, holder, zone string) provider.AcquireOutcome {
	if !validUTF8(holder, zone) {
		return provider.NewUnavailable(reasonInvalidUTF8)
	}
	resp, r := b.controlCall(ctx, "/acquire", acquireRequest{Holder: holder, Zone: zone})
	switch {
	case r.state == noEffect:
		return provider.NewUnavailable(r.reason)
	case r.state == noReply:
		return provider.NewOutcomeUnknown(r.reason)
	case resp.Outcome == outcomeGranted:
		return provider.NewGranted(resp.Epoch, time.Duration(resp.DurationNs), resp.statuses())
	case resp.Outcome == outcomeHeld:
		return provider.NewHeld(resp.Holder, time.Duration(resp.DurationNs))
	case resp.Outcome == outcomeRefused:
		return provider.NewRefused(resp.Reason)
	default:
		return provider.NewOutcomeUnknown(unexpectedOutcome(resp))
	}
}

// Release implements provider.BackendServer.
func (b *Backend) Release(ctx context.Context, epoch uint64) provider.ReleaseOutcome {
	resp, r := b.controlCall(ctx, "/release", epochRequest{Epoch: epoch})
	switch {
	case r.state == noEffect:
		return provider.NewUnavailable(r.reason)
	case r.state == noReply:
		return provider.NewOutcomeUnknown(r.reason)
	case resp.Outcome == outcomeReleased:
		return provider.Released{}
	case resp.Outcome == outcomeStaleEpoch:
		return provider.StaleEpoch{}
	default:
		return provider.NewOutcomeUnknown(unexpectedOutcome(resp))
	}
}

// Report implements provider.BackendServer.
func (b *Backend) Report(ctx context.Context, epoch uint64) provider.ReportOutcome {
	resp, r := b.controlCall(ctx, "/report", epochRequest{Epoch: epoch})
	switch {
	case r.state == noEffect:
		return provider.NewUnavailable(r.reason)
	case r.state == noReply:
		return provider.NewOutcomeUnknown(r.reason)
	case resp.Outcome == outcomeReport && resp.Usage != nil:
		return provider.NewReport(resp.Usage.shape(), resp.statuses())
	case resp.Outcome == outcomeStaleEpoch:
		return provider.StaleEpoch{}
	default:
		return provider.NewOutcomeUnknown(unexpectedOutcome(resp))
	}
}

// Run implements provider.BackendServer. It never retries.
func (b *Backend) Run(ctx context.Context, epoch uint64, t provider.Task) provider.RunOutcome {
	if !validUTF8(t.ID(), t.Entry(), t.Team()) {
		return provider.NewUnavailable(reasonInvalidUTF8)
	}
	b.runClient.initialize(b.Address, MaxRunConnections, 0)
	var resp backendResponse
	r := b.runClient.call(ctx, DefaultRunTimeout, "/run", runRequest{
		Epoch: epoch, ID: t.ID(), Attempt: t.Attempt(), Entry: t.Entry(), Team: t.Team(),
		Shape: newShapeWire(t.Shape()), Payload: t.Payload(),
	}, &resp)
	switch {
	case r.state == noEffect:
		return provider.NewUnavailable(r.reason)
	case r.state == noReply:
		return provider.NewOutcomeUnknown(r.reason)
	case resp.Outcome == outcomeAnswer && resp.Answer != nil:
		return resp.Answer.answer()
	case resp.Outcome == outcomeRefused:
		return provider.NewRefused(resp.Reason)
	case resp.Outcome == outcomeStaleEpoch:
		return provider.StaleEpoch{}
	default:
		return provider.NewOutcomeUnknown(unexpectedOutcome(resp))
	}
}

// Close implements provider.BackendServer.
func (b *Backend) Close(ctx context.Context, epoch uint64, id string, attempt int) provider.CloseOutcome {
	if !validUTF8(id) {
		return provider.NewUnavailable(reasonInvalidUTF8)
	}
	resp, r := b.controlCall(ctx, "/close", attemptRequest{Epoch: epoch, ID: id, Attempt: attempt})
	switch {
	case r.state == noEffect:
		return provider.NewUnavailable(r.reason)
	case r.state == noReply:
		return provider.NewOutcomeUnknown(r.reason)
	case resp.Outcome == outcomeNeverStarted:
		return provider.NeverStarted{}
	case resp.Outcome == outcomeStillRunning:
		return provider.StillRunning{}
	case resp.Outcome == outcomeAnswer && resp.Answer != nil:
		return resp.Answer.answer()
	case resp.Outcome == outcomeStaleEpoch:
		return provider.StaleEpoch{}
	default:
		return provider.NewOutcomeUnknown(unexpectedOutcome(resp))
	}
}

// Signal implements provider.BackendServer.
func (b *Backend) Signal(
	ctx context.Context, epoch uint64, id string, attempt int, s provider.Signal,
) provider.SignalOutcome {
	if !validUTF8(id) {
		return provider.NewUnavailable(reasonInvalidUTF8)
	}
	resp, r := b.controlCall(ctx, "/signal", attemptRequest{
		Epoch: epoch, ID: id, Attempt: attempt, Signal: signalNames[s],
	})
	switch {
	case r.state == noEffect:
		return provider.NewUnavailable(r.reason)
	case r.state == noReply:
		return provider.NewOutcomeUnknown(r.reason)
	case resp.Outcome == outcomeSignalled:
		return provider.Signalled{}
	case resp.Outcome == outcomeNotRunning:
		return provider.NotRunning{}
	case resp.Outcome == outcomeStaleEpoch:
		return provider.StaleEpoch{}
	default:
		return provider.NewOutcomeUnknown(unexpectedOutcome(resp))
	}
}

func (b *Backend) controlCall(ctx context.Context, path string, in any) (backendResponse, callResult) {
	b.controlClient.initialize(b.Address, MaxControlConnections, DefaultTimeout)
	var resp backendResponse
	r := b.controlClient.call(ctx, DefaultTimeout, path, in, &resp)
	return resp, r
}

func unexpectedOutcome(resp backendResponse) string {
	return fmt.Sprintf("unexpected outcome %q in the reply", resp.Outcome)
}

func (w backendResponse) statuses() []provider.TaskStatus {
	statuses := make([]provider.TaskStatus, 0, len(w.Tasks))
	for _, t := range w.Tasks {
		task := provider.NewTask(t.ID, t.Attempt, t.Entry, t.Team, t.Shape.shape(), nil)
		statuses = append(statuses, provider.NewTaskStatus(task, t.Finished).WithHolder(t.Holder))
	}
	return statuses
}

func newStatusWires(statuses []provider.TaskStatus) []statusWire {
	wires := make([]statusWire, 0, len(statuses))
	for _, s := range statuses {
		wires = append(wires, statusWire{
			ID: s.ID(), Attempt: s.Attempt(), Entry: s.Entry(), Team: s.Team(),
			Shape: newShapeWire(s.Shape()), Finished: s.Finished(), Holder: s.Holder(),
		})
	}
	return wires
}

func newAnswerWire(a provider.Answer) *answerWire {
	return &answerWire{
		ID: a.ID(), Attempt: a.Attempt(), OK: a.OK(), Stopped: a.Stopped(),
		Length: a.Length(), Checksum: a.Checksum(), Output: a.Output(),
	}
}

func (w *answerWire) answer() provider.Answer {
	if w.Stopped {
		return provider.NewStoppedAnswer(w.ID, w.Attempt, string(w.Output))
	}
	return provider.NewAnswer(w.ID, w.Attempt, w.OK, w.Length, w.Checksum, w.Output)
}
