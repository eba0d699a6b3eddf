package peer_test

import (
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"reflect"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/go-cmp/cmp"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/pistachiolead/pistachiolead/peer"
	"github.com/pistachiolead/pistachiolead/peer/peerwire"
	"github.com/pistachiolead/pistachiolead/provider"
)

// compareUnexported is a cmp option that compares unexported fields too.
var compareUnexported = cmp.Exporter(func(reflect.Type) bool { return true })

func request(payload []byte) peer.Request {
	return peer.NewRequest("r.1", 3, peer.KindJob, "sale", "team", "key", payload, 1500*time.Millisecond)
}

// Guards against a request that ran, or may have run, and is reported as undelivered (R7), and against answers that are
// modified in transit (R6).
func TestForwardOutcomes(t *testing.T) {
	output := []byte("seat 1")
	answer := peer.NewAnswered(true, output, len(output), xxhash.Sum64(output))
	assert.Assert(t, answer.Intact())
	assert.Assert(t, !peer.NewAnswered(true, output[1:], len(output), xxhash.Sum64(output)).Intact())
	large := make([]byte, peer.MaxMessageBytes)
	refusal := peer.NewNotRun("full", "the queue is full", time.Second)

	for _, c := range []struct {
		name    string
		outcome peer.ForwardOutcome
		fault   fault
		panics  bool
		remote  string
		secret  string
		sent    string
		payload []byte
		want    peer.ForwardOutcome
		kind    string
		calls   int
	}{
		{name: "answered", outcome: answer, want: answer, calls: 1},
		{name: "refused", outcome: refusal, want: refusal, calls: 1},
		{name: "unknown", outcome: peer.NewOutcomeUnknown("lost"), want: peer.NewOutcomeUnknown("lost"), calls: 1},
		{name: "unreachable from the handler", outcome: peer.NewUnreachable("down"), want: peer.NewOutcomeUnknown("down"), calls: 1},
		{name: "no outcome", want: peer.NewOutcomeUnknown("the handler returned no outcome"), calls: 1},
		{name: "dial", outcome: answer, fault: dialFault, kind: typeName(peer.Unreachable{})},
		{name: "request lost", outcome: answer, fault: requestLost, kind: typeName(peer.OutcomeUnknown{})},
		{name: "reply lost", outcome: answer, fault: replyLost, kind: typeName(peer.OutcomeUnknown{}), calls: 1},
		{name: "panic", panics: true, kind: typeName(peer.OutcomeUnknown{}), calls: 1},
		{name: "large payload", outcome: answer, payload: large, kind: typeName(peer.NotRun{})},
		{name: "large answer", outcome: peer.NewAnswered(true, large, len(large), 0), kind: typeName(peer.OutcomeUnknown{}), calls: 1},
		{name: "not loopback", outcome: answer, remote: "10.0.0.1:1", kind: typeName(peer.Unreachable{})},
		{name: "wrong secret", outcome: answer, secret: "right", sent: "wrong", kind: typeName(peer.Unreachable{})},
		{name: "right secret", outcome: answer, secret: "right", sent: "right", remote: "10.0.0.1:1", want: answer, calls: 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newTestPeers()
			p.handler.outcome, p.handler.panics = c.outcome, c.panics
			p.network.fault, p.network.server.Secret, p.client.Secret = c.fault, c.secret, c.sent
			if c.remote != "" {
				p.network.remote = c.remote
			}
			got := p.client.Forward(t.Context(), request(c.payload))
			if c.want != nil {
				assert.DeepEqual(t, got, c.want, compareUnexported)
			} else {
				assert.Equal(t, fmt.Sprintf("%T", got), c.kind, "%v", got)
			}
			assert.Equal(t, p.handler.calls, c.calls)
		})
	}
}

// misroutingServer returns the reply to another request.
type misroutingServer struct{ peerwire.Peer }

func (misroutingServer) Forward(context.Context, *peerwire.ForwardRequest) (*peerwire.ForwardReply, error) {
	return &peerwire.ForwardReply{Id: "r.2", Attempt: 3, Outcome: &peerwire.ForwardReply_NotRun{}}, nil
}

// Guards against a client that accepts the reply to another request (R6).
func TestForwardRejectsMisroutedReply(t *testing.T) {
	server := httptest.NewServer(peerwire.NewPeerServer(misroutingServer{}))
	defer server.Close()
	scope := tally.NewTestScope("", nil)
	c := &peer.Client{Address: server.Listener.Addr().String(), Scope: scope}
	assert.Equal(t, c.Forward(t.Context(), request(nil)), peer.NewOutcomeUnknown("the forward reply belongs to another request"))
	assert.Equal(t, scope.Snapshot().Counters()["peer-client.forwards-crossed+"].Value(), int64(1))
}

// Guards against fields of a request that are lost in transit, and against requests that are forwarded again.
func TestForwardPreservesRequest(t *testing.T) {
	p := newTestPeers()
	p.handler.outcome = peer.NewNotRun("full", "", 0)
	p.client.Forward(t.Context(), request([]byte("seat 1")))
	got := p.handler.request
	assert.Equal(t, got.Hops(), 1)
	assert.Equal(t, fmt.Sprintf("%T", p.client.Forward(t.Context(), got)), typeName(peer.NotRun{}))
	assert.Equal(t, p.handler.calls, 1)
	assert.Equal(t, got.ID()+got.Entry()+got.Team()+got.KeyID()+string(got.Payload()), "r.1saleteamkeyseat 1")
	assert.Equal(t, got.Attempt(), 3)
	assert.Equal(t, got.Remaining(), 1500*time.Millisecond)
	assert.Equal(t, got.Kind(), peer.KindJob)
}

// Guards against a connection refused by a real socket that is reported as a possibly delivered message.
func TestRefusedConnectionIsUnreachable(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, l.Close())
	c := &peer.Client{Address: l.Addr().String()}
	assert.Equal(t, fmt.Sprintf("%T", c.Forward(t.Context(), request(nil))), typeName(peer.Unreachable{}))
	assert.Equal(t, fmt.Sprintf("%T", c.Relay().Commit(t.Context(), provider.Transaction{})), "provider.Unavailable")
}

func drawRow(t *rapid.T) provider.Row {
	key, version := rapid.String().Draw(t, "key"), rapid.Uint64().Draw(t, "version")
	if rapid.Bool().Draw(t, "deleted") {
		return provider.NewDeletedRow(key, version)
	}
	return provider.NewRow(key, rapid.SliceOfN(rapid.Byte(), 1, 8).Draw(t, "value"), version)
}

// Guards against changes, transactions and outcomes that are modified in transit, and against a commit whose reply is
// lost and that is reported as failed although it may have taken effect.
func TestApplyAndRelayPreserveMessages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newTestPeers()
		rows := []provider.Row{drawRow(t), drawRow(t)}
		for _, c := range []peer.Change{
			peer.NewConfigurationChange(rapid.Uint64().Draw(t, "version"), rows), peer.NewZoneTakeOut("a"),
			peer.NewVMTakeOut("vm"), peer.NewRevocation("key"),
		} {
			assert.Equal(t, p.client.Apply(t.Context(), c), peer.NewAcknowledged(42))
			assert.DeepEqual(t, p.handler.change, c, compareUnexported)
		}

		tx := provider.NewTransaction(
			[]provider.Condition{provider.NewCondition("k", rapid.Uint64().Draw(t, "condition"))},
			[]provider.Write{provider.NewPut("k", []byte("v")), provider.NewDelete("l")},
		)
		for _, o := range []provider.CommitOutcome{
			provider.NewCommitted(7), provider.NewConflict(rows[0]), provider.NewUnavailable("a"), provider.NewOutcomeUnknown("b"),
		} {
			p.table.commit = o
			assert.DeepEqual(t, p.client.Relay().Commit(t.Context(), tx), o, compareUnexported)
			assert.DeepEqual(t, p.table.transaction, tx, compareUnexported)
		}
		for _, o := range []provider.ScanOutcome{provider.NewRows(rows, 9), provider.NewUnavailable("a")} {
			p.table.scan = o
			assert.DeepEqual(t, p.client.Relay().Scan(t.Context(), "p", 3), o, compareUnexported)
		}

		p.network.fault = replyLost
		assert.Equal(t, fmt.Sprintf("%T", p.client.Relay().Commit(t.Context(), tx)), "provider.OutcomeUnknown")
		assert.Equal(t, fmt.Sprintf("%T", p.client.Relay().Scan(t.Context(), "p", 3)), "provider.Unavailable")
		assert.Equal(t, fmt.Sprintf("%T", p.client.Apply(t.Context(), peer.NewRevocation("key"))), typeName(peer.OutcomeUnknown{}))
	})
}
