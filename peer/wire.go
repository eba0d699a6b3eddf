package peer

import (
	"fmt"
	"time"

	"github.com/pistachiolead/pistachiolead/peer/peerwire"
	"github.com/pistachiolead/pistachiolead/provider"
)

func requestToWire(r Request) *peerwire.ForwardRequest {
	return &peerwire.ForwardRequest{
		Id: r.id, Attempt: int64(r.attempt), Entry: r.entry, Team: r.team, KeyId: r.keyID, Payload: r.payload,
		RemainingMicroseconds: r.remaining.Microseconds(), Kind: peerwire.Kind(r.kind), Hops: int32(r.hops),
	}
}

func requestFromWire(w *peerwire.ForwardRequest) Request {
	r := NewRequest(w.GetId(), int(w.GetAttempt()), Kind(w.GetKind()), w.GetEntry(), w.GetTeam(), w.GetKeyId(),
		w.GetPayload(), time.Duration(w.GetRemainingMicroseconds())*time.Microsecond)
	r.hops = int(w.GetHops())
	return r
}

func forwardReplyToWire(r Request, o ForwardOutcome) *peerwire.ForwardReply {
	w := &peerwire.ForwardReply{Id: r.id, Attempt: int64(r.attempt)}
	switch o := o.(type) {
	case Answered:
		w.Outcome = &peerwire.ForwardReply_Answered{Answered: &peerwire.Answered{
			Ok: o.ok, Output: o.output, Length: int64(o.length), Checksum: o.checksum,
		}}
	case NotRun:
		w.Outcome = &peerwire.ForwardReply_NotRun{NotRun: &peerwire.NotRun{
			Code: o.code, Message: o.message, RetryAfterMilliseconds: o.retryAfter.Milliseconds(),
		}}
	case OutcomeUnknown:
		w.Outcome = unknownForwardReply(o.reason)
	case Unreachable:
		w.Outcome = unknownForwardReply(o.reason)
	default:
		w.Outcome = unknownForwardReply("the handler returned no outcome")
	}
	return w
}

func unknownForwardReply(reason string) *peerwire.ForwardReply_Unknown {
	return &peerwire.ForwardReply_Unknown{Unknown: &peerwire.Unknown{Reason: reason}}
}

func forwardReplyFromWire(w *peerwire.ForwardReply) ForwardOutcome {
	switch o := w.GetOutcome().(type) {
	case *peerwire.ForwardReply_Answered:
		a := o.Answered
		return NewAnswered(a.GetOk(), a.GetOutput(), int(a.GetLength()), a.GetChecksum())
	case *peerwire.ForwardReply_NotRun:
		n := o.NotRun
		return NewNotRun(n.GetCode(), n.GetMessage(), time.Duration(n.GetRetryAfterMilliseconds())*time.Millisecond)
	case *peerwire.ForwardReply_Unknown:
		return NewOutcomeUnknown(o.Unknown.GetReason())
	default:
		return NewOutcomeUnknown("the forward reply has no outcome of a known type")
	}
}

func changeToWire(c Change) *peerwire.Change {
	switch c := c.(type) {
	case ConfigurationChange:
		return &peerwire.Change{Change: &peerwire.Change_Configuration{Configuration: &peerwire.Configuration{
			Version: c.version, Rows: rowsToWire(c.rows),
		}}}
	case TakeOut:
		return &peerwire.Change{Change: &peerwire.Change_TakeOut{TakeOut: &peerwire.TakeOut{Zone: c.zone, Vm: c.vm}}}
	case Revocation:
		return &peerwire.Change{Change: &peerwire.Change_Revocation{Revocation: &peerwire.Revocation{KeyId: c.keyID}}}
	default:
		panic(fmt.Sprintf("encode change: unknown type %T", c))
	}
}

func changeFromWire(w *peerwire.Change) (Change, bool) {
	switch c := w.GetChange().(type) {
	case *peerwire.Change_Configuration:
		return NewConfigurationChange(c.Configuration.GetVersion(), rowsFromWire(c.Configuration.GetRows())), true
	case *peerwire.Change_TakeOut:
		return TakeOut{zone: c.TakeOut.GetZone(), vm: c.TakeOut.GetVm()}, true
	case *peerwire.Change_Revocation:
		return NewRevocation(c.Revocation.GetKeyId()), true
	default:
		return nil, false
	}
}

func rowToWire(r provider.Row) *peerwire.Row {
	return &peerwire.Row{Key: r.Key(), Value: r.Value(), Version: r.Version(), Deleted: r.Deleted()}
}

func rowFromWire(w *peerwire.Row) provider.Row {
	if w.GetDeleted() {
		return provider.NewDeletedRow(w.GetKey(), w.GetVersion())
	}
	return provider.NewRow(w.GetKey(), w.GetValue(), w.GetVersion())
}

func rowsToWire(rows []provider.Row) []*peerwire.Row {
	w := make([]*peerwire.Row, 0, len(rows))
	for _, r := range rows {
		w = append(w, rowToWire(r))
	}
	return w
}

func rowsFromWire(w []*peerwire.Row) []provider.Row {
	rows := make([]provider.Row, 0, len(w))
	for _, r := range w {
		rows = append(rows, rowFromWire(r))
	}
	return rows
}

func transactionToWire(t provider.Transaction) *peerwire.CommitRequest {
	w := &peerwire.CommitRequest{}
	for _, c := range t.Conditions() {
		w.Conditions = append(w.Conditions, &peerwire.Condition{Key: c.Key(), Version: c.Version()})
	}
	for _, p := range t.Writes() {
		w.Writes = append(w.Writes, &peerwire.Write{Key: p.Key(), Value: p.Value(), Delete: p.Delete()})
	}
	return w
}

func transactionFromWire(w *peerwire.CommitRequest) provider.Transaction {
	var conditions []provider.Condition
	for _, c := range w.GetConditions() {
		conditions = append(conditions, provider.NewCondition(c.GetKey(), c.GetVersion()))
	}
	var writes []provider.Write
	for _, p := range w.GetWrites() {
		if p.GetDelete() {
			writes = append(writes, provider.NewDelete(p.GetKey()))
			continue
		}
		writes = append(writes, provider.NewPut(p.GetKey(), p.GetValue()))
	}
	return provider.NewTransaction(conditions, writes)
}

func commitToWire(o provider.CommitOutcome) *peerwire.CommitReply {
	switch o := o.(type) {
	case provider.Committed:
		return &peerwire.CommitReply{Outcome: &peerwire.CommitReply_Committed{
			Committed: &peerwire.Committed{Version: o.Version()},
		}}
	case provider.Conflict:
		return &peerwire.CommitReply{Outcome: &peerwire.CommitReply_Conflict{
			Conflict: &peerwire.Conflict{Row: rowToWire(o.Row())},
		}}
	case provider.Rejected: // has no message of its own; it wasn't applied either
		return &peerwire.CommitReply{Outcome: &peerwire.CommitReply_Unavailable{
			Unavailable: &peerwire.Unavailable{Reason: o.Reason()},
		}}
	case provider.Unavailable:
		return &peerwire.CommitReply{Outcome: &peerwire.CommitReply_Unavailable{
			Unavailable: &peerwire.Unavailable{Reason: o.Reason()},
		}}
	case provider.OutcomeUnknown:
		return &peerwire.CommitReply{Outcome: &peerwire.CommitReply_Unknown{
			Unknown: &peerwire.Unknown{Reason: o.Reason()},
		}}
	default:
		panic(fmt.Sprintf("encode commit outcome: unknown type %T", o))
	}
}

func commitFromWire(w *peerwire.CommitReply) provider.CommitOutcome {
	switch o := w.GetOutcome().(type) {
	case *peerwire.CommitReply_Committed:
		return provider.NewCommitted(o.Committed.GetVersion())
	case *peerwire.CommitReply_Conflict:
		return provider.NewConflict(rowFromWire(o.Conflict.GetRow()))
	case *peerwire.CommitReply_Unavailable:
		return provider.NewUnavailable(o.Unavailable.GetReason())
	case *peerwire.CommitReply_Unknown:
		return provider.NewOutcomeUnknown(o.Unknown.GetReason())
	default:
		return provider.NewOutcomeUnknown("the commit reply has no outcome of a known type")
	}
}

func scanToWire(o provider.ScanOutcome) *peerwire.ScanReply {
	switch o := o.(type) {
	case provider.Rows:
		return &peerwire.ScanReply{Outcome: &peerwire.ScanReply_Rows{
			Rows: &peerwire.Rows{Rows: rowsToWire(o.Rows()), Version: o.Version()},
		}}
	case provider.Unavailable:
		return unavailableScan(o.Reason())
	default:
		panic(fmt.Sprintf("encode scan outcome: unknown type %T", o))
	}
}

func unavailableScan(reason string) *peerwire.ScanReply {
	return &peerwire.ScanReply{Outcome: &peerwire.ScanReply_Unavailable{
		Unavailable: &peerwire.Unavailable{Reason: reason},
	}}
}

func scanFromWire(w *peerwire.ScanReply) provider.ScanOutcome {
	switch o := w.GetOutcome().(type) {
	case *peerwire.ScanReply_Rows:
		return provider.NewRows(rowsFromWire(o.Rows.GetRows()), o.Rows.GetVersion())
	case *peerwire.ScanReply_Unavailable:
		return provider.NewUnavailable(o.Unavailable.GetReason())
	default:
		return provider.NewUnavailable("the scan reply has no outcome of a known type")
	}
}
