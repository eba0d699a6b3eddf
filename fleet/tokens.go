package fleet

import (
	"time"

	"k8s.io/klog/v2"
)

// tokenFor returns the fencing token for a request to a server. There is one for each of its incarnations: nothing is sent to one that
// needs a higher token.
func (s *State) tokenFor(v *server) uint64 {
	v.token = max(v.token, s.Token)
	return v.token
}

// raiseToken raises the fencing token for a server, so that it refuses the earlier requests to it that are still on the way. Each commit
// gives a higher token that no other controller has. It returns false if one has to be waited for.
func (s *State) raiseToken(v *server) bool {
	if s.committed <= v.token {
		s.renewalNeeded = true
		return false
	}
	v.token, v.needsToken = s.committed, false
	return true
}

// raiseTokenForStart raises the fencing token for a server above those of all polls that acknowledged ends. If the next incarnation of the
// server carries out the start request late, it refuses these polls from then on. Otherwise one of them could make it forget the end of
// the run before it was reported, as the numbers of ends start anew.
func (s *State) raiseTokenForStart(v *server) bool {
	return v.ackToken == 0 || s.tokenFor(v) > v.ackToken || s.raiseToken(v)
}

// startRefusedByToken handles the refusal of a start request because the server has seen a higher fencing token: that of another
// controller, or of a later request of this one. The request is then sent again with the later token.
func (s *State) startRefusedByToken(v *server, a *attempt) {
	if a.startToken == v.token {
		s.depose("server-knows-newer-token")
		return
	}
	klog.InfoS("Start request was overtaken by one with a higher token", "run", a.id(), "server", v.id, "token", a.startToken, "later", v.token)
	if a.phase == requested && !a.stopRequested {
		a.startSentAt = time.Time{}
	}
	a.startAccountedFor()
}
