package remote

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/pistachiolead/pistachiolead/provider/standin"
)

// triggerWire is a standin.Trigger in JSON: a boolean, a number of operations, or an object with probability and seed.
type triggerWire struct{ trigger standin.Trigger }

type probabilityWire struct {
	Probability float64 `json:"probability"`
	Seed        uint64  `json:"seed"`
}

// UnmarshalJSON implements json.Unmarshaler.
func (w *triggerWire) UnmarshalJSON(data []byte) error {
	var on bool
	if json.Unmarshal(data, &on) == nil {
		w.trigger = standin.Trigger(standin.Never{})
		if on {
			w.trigger = standin.Always{}
		}
		return nil
	}
	var count int
	if json.Unmarshal(data, &count) == nil && count >= 0 {
		w.trigger = standin.NewNext(count)
		return nil
	}
	var random probabilityWire
	if err := json.Unmarshal(data, &random); err != nil || random.Probability < 0 || random.Probability > 1 {
		return errors.Errorf(
			"trigger is %s, allowed are a boolean, a count, and a probability between 0 and 1 with a seed", data,
		)
	}
	w.trigger = standin.NewRandom(random.Probability, random.Seed)
	return nil
}

// serviceFaultsRequest sets the faults that all services support. Faults of absent fields don't change.
type serviceFaultsRequest struct {
	Down        *triggerWire `json:"down"`
	DelayMs     *int64       `json:"delay-ms"`
	LoseReplies *triggerWire `json:"lose-replies"`
}

// backendFaultsRequest sets the faults of a backend server.
type backendFaultsRequest struct {
	serviceFaultsRequest
	FailAll   *triggerWire `json:"fail-all"`
	Cross     *triggerWire `json:"cross"`
	Truncate  *triggerWire `json:"truncate"`
	Duplicate *triggerWire `json:"duplicate"`
	LateMs    *int64       `json:"late-ms"`
	Restart   bool         `json:"restart"`
}

type vmFaultsRequest struct {
	State string `json:"state"`
}

type faultsResponse struct{}

func (w serviceFaultsRequest) apply(f *standin.Faults) {
	w.Down.apply(f.SetDown)
	w.LoseReplies.apply(f.SetLoseReplies)
	if w.DelayMs != nil {
		f.SetDelay(time.Duration(*w.DelayMs) * time.Millisecond)
	}
}

func (w *triggerWire) apply(set func(standin.Trigger)) {
	if w != nil {
		set(w.trigger)
	}
}

func (s *Server) serviceFaults(f *standin.Faults) fasthttp.RequestHandler {
	return func(c *fasthttp.RequestCtx) {
		var req serviceFaultsRequest
		if !decode(c, &req) {
			return
		}
		req.apply(f)
		reply(c, faultsResponse{})
	}
}

func (s *Server) backendFaults(c *fasthttp.RequestCtx) {
	id, _ := c.UserValue("id").(string)
	b, ok := s.Platform.Backends[id]
	if !ok {
		replyNotFound(c, "backend server", id)
		return
	}
	var req backendFaultsRequest
	if !decode(c, &req) {
		return
	}

	req.apply(&b.Faults)
	req.FailAll.apply(b.TaskFaults.SetFail)
	req.Cross.apply(b.TaskFaults.SetMisroute)
	req.Truncate.apply(b.TaskFaults.SetTruncate)
	req.Duplicate.apply(b.TaskFaults.SetDuplicate)
	if req.LateMs != nil {
		b.TaskFaults.SetAnswerDelay(time.Duration(*req.LateMs) * time.Millisecond)
	}
	if req.Restart {
		b.Restart()
	}
	reply(c, faultsResponse{})
}

// vmFaults changes the state of a VM. If a backend server is removed, it loses its tasks and stays down.
func (s *Server) vmFaults(c *fasthttp.RequestCtx) {
	id, _ := c.UserValue("id").(string)
	var req vmFaultsRequest
	if !decode(c, &req) {
		return
	}

	found := false
	switch req.State {
	case "present":
		found = s.Platform.VMs.SetLeaving(id, false)
	case "leaving":
		found = s.Platform.VMs.SetLeaving(id, true)
	case "gone":
		found = s.Platform.StopVM(id)
	default:
		replyBadRequest(c, fmt.Sprintf("state is %q, allowed are present, leaving and gone", req.State))
		return
	}
	if !found {
		replyNotFound(c, "VM", id)
		return
	}
	reply(c, faultsResponse{})
}
