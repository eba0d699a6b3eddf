package fleet

import (
	"bytes"
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"github.com/pistachiolead/pistachiolead/backend"
	"github.com/pistachiolead/pistachiolead/provider"
)

// VMRequestsKey is the key of the row with the VMs for which a move or maintenance was requested recently, by this
// controller or earlier ones. A request is sent only after its VM is stored in the row, so that the next controllers know
// for which VMs they must not send requests yet.
const VMRequestsKey = "control/vm-orders"

const (
	// maxVMRequestDelay is the longest time from when a request is sent until the platform receives it, in normal operation.
	maxVMRequestDelay = 250 * time.Millisecond
	// vmRequestsStoreInterval is the time between two writes of the row without new requests.
	vmRequestsStoreInterval = time.Second
	// maxVMRequestsBytes bounds the row, below the 64 KB that the store accepts.
	maxVMRequestsBytes = 48 << 10
)

// vmRequest is a request to move or maintain a VM, which is sent once its intent is stored.
type vmRequest struct {
	vm     string
	effect Effect
}

// recentVMRequest is the last request for a VM.
type recentVMRequest struct {
	sender   string    // the entry VM, or "" if it isn't known
	at       time.Time // the latest time at which the platform may have received the request, unless it is in flight
	inFlight bool      // the request is to be sent, or has no outcome yet
	// pending says that the request is for maintenance in the given wave and may still be carried out, as the platform hasn't accepted it.
	pending bool
	wave    int64
}

// newRecentVMRequest returns the record of a request that is sent once it is stored.
func (s *State) newRecentVMRequest(r vmRequest, now time.Time) recentVMRequest {
	recent := recentVMRequest{sender: s.EntryVM, at: now, inFlight: true}
	if m, maintains := r.effect.(MaintainVM); maintains {
		recent.pending, recent.wave = true, m.Wave
	}
	return recent
}

// inheritedRequest is a request of an earlier controller for the maintenance of a VM that the platform may still carry out.
type inheritedRequest struct {
	wave  int64
	until time.Time
}

// storedVMRequests is the row of recent requests for VMs. It holds their ages, as the time of day differs between entry VMs.
type storedVMRequests struct {
	Senders []vmRequestSender `json:"senders"`
}

// vmRequestSender is an entry VM with the VMs for which it sent requests. Those for maintenance that may still be carried out are in an entry
// for each wave.
type vmRequestSender struct {
	EntryVM string           `json:"entry-vm"`
	AgesMS  map[string]int64 `json:"ages-ms"` // ages of the requests when the row was written, by VM
	// Pending says that the requests are for maintenance in the wave and may still be carried out.
	Pending bool  `json:"pending,omitempty"`
	Wave    int64 `json:"wave,omitempty"`
}

// addVMRequests adds the intents of the pending requests to a commit, as many as its row has room for beside the recent ones. While there
// are recent requests, the row is also written from time to time, so that their stored ages don't lag far behind and they are removed.
func (s *State) addVMRequests(c *commit, now time.Time) {
	if s.stopping {
		s.vmRequests = nil // this controller sends no more of them
	}
	for vm, r := range s.recentVMRequests {
		if now.Sub(r.at) > r.relevantFor(s.HandoverPause) {
			delete(s.recentVMRequests, vm)
		}
	}
	count := s.storableVMRequests(now)
	renewalDue := now.Sub(s.renewedAt) >= renewInterval // a write on its own would be a commit more
	refresh := s.vmRequestsStored && renewalDue && now.Sub(s.vmRequestsStoredAt) >= vmRequestsStoreInterval
	if count == 0 && !refresh {
		return
	}
	requests, previous := slices.Clone(s.vmRequests[:count]), maps.Clone(s.recentVMRequests)
	for _, r := range requests {
		s.recentVMRequests[r.vm] = s.newRecentVMRequest(r, now)
	}
	part := requestsPart{requests: requests, clears: len(s.recentVMRequests) == 0}
	if !s.add(c, part, provider.NewPut(VMRequestsKey, s.encodeVMRequests(now))) {
		s.recentVMRequests = previous
		return
	}
	s.vmRequests = slices.Clone(s.vmRequests[count:])
	s.vmRequestsStoredAt, s.vmRequestsStored = now, true
}

// storableVMRequests returns the number of the pending requests for which the row of recent ones has room.
func (s *State) storableVMRequests(now time.Time) int {
	if len(s.vmRequests) == 0 {
		return 0
	}
	size := len(s.encodeVMRequests(now)) + len(s.EntryVM)
	waves := make(map[int64]bool)
	for n, r := range s.vmRequests {
		if m, maintains := r.effect.(MaintainVM); maintains && !waves[m.Wave] {
			waves[m.Wave] = true
			size += len(`{"entry-vm":"","ages-ms":{},"pending":true,"wave":-9223372036854775808},`) + maxEscapedBytes*len(s.EntryVM)
		}
		if size += len(encodeUnescaped(r.vm)) + len(`:99999,`); size > maxVMRequestsBytes {
			return n
		}
	}
	return len(s.vmRequests)
}

func (s *State) encodeVMRequests(now time.Time) []byte {
	type group struct {
		sender  string
		pending bool
		wave    int64
	}
	ages := make(map[group]map[string]int64)
	for vm, r := range s.recentVMRequests {
		g := group{sender: r.sender, pending: r.pending, wave: r.wave}
		if ages[g] == nil {
			ages[g] = make(map[string]int64)
		}
		ages[g][vm] = r.age(now).Milliseconds()
	}
	stored := storedVMRequests{Senders: []vmRequestSender{}}
	for g, of := range ages {
		stored.Senders = append(stored.Senders, vmRequestSender{EntryVM: g.sender, AgesMS: of, Pending: g.pending, Wave: g.wave})
	}
	slices.SortFunc(stored.Senders, func(a, b vmRequestSender) int {
		return cmp.Or(strings.Compare(a.EntryVM, b.EntryVM), cmp.Compare(a.Wave, b.Wave))
	})
	return encodeUnescaped(stored)
}

// encodeUnescaped encodes a value without the escapes that only HTML needs.
func encodeUnescaped(value any) []byte {
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	e.SetEscapeHTML(false)
	if err := e.Encode(value); err != nil {
		panic(err) // strings and numbers can always be encoded
	}
	return bytes.TrimSuffix(b.Bytes(), []byte("\n"))
}

// relevantFor returns for how long after the request the next controllers have to know of it.
func (r recentVMRequest) relevantFor(handoverPause time.Duration) time.Duration {
	if r.pending {
		return max(handoverPause+LongTerm, lateRequestTime)
	}
	return handoverPause + LongTerm
}

// age returns the time since the platform has received the request for certain, or 0.
func (r recentVMRequest) age(now time.Time) time.Duration {
	if r.inFlight {
		return 0
	}
	return max(0, now.Sub(r.at))
}

// sendVMRequests sends the requests of a row that is stored. After the term another controller may have read the row already
// and sent requests, so they are stored again with the renewal of the term.
func (s *State) sendVMRequests(p requestsPart, now time.Time) {
	if p.clears {
		s.vmRequestsStored = false
	}
	if !now.Before(s.termEndsAt) {
		s.vmRequests = append(p.requests, s.vmRequests...)
		return
	}
	for _, r := range p.requests {
		s.recentVMRequests[r.vm] = s.newRecentVMRequest(r, now)
		s.emit(r.effect)
	}
}

// vmRequestEnded records that a request for a VM has an outcome, or got no response in time. Once maintenance was accepted, other requests
// for it in the same wave have no effect.
func (s *State) vmRequestEnded(vm string, outcome backend.Outcome, now time.Time) {
	r, known := s.recentVMRequests[vm]
	if !known || !r.inFlight {
		return
	}
	r.at, r.inFlight = now, false
	if _, accepted := outcome.(backend.Accepted); accepted {
		r.pending, r.wave = false, 0
	}
	s.recentVMRequests[vm] = r
}

// adoptInheritedRequest goes on with the request of an earlier controller for the maintenance of a VM, which may still be carried out. It
// is repeated with a higher fencing token, and counts as one of the VMs that are down until it is answered.
func (s *State) adoptInheritedRequest(w *wave, vm string, now time.Time) {
	r, inherited := s.inheritedRequests[vm]
	if _, begun := w.begunAt[vm]; !inherited || r.wave != w.spec.Number || begun || s.vms[vm].State != backend.VMUp {
		return
	}
	delete(s.inheritedRequests, vm)
	if w.inFlight[vm] || !w.requestedAt[vm].IsZero() {
		return
	}
	klog.InfoS("Maintenance may have been requested by an earlier controller", "vm", vm, "wave", w.spec.Name, "left", r.until.Sub(now))
	w.requestedAt[vm], w.server[vm] = s.began, s.vms[vm].Server
	if v, known := s.servers[s.vms[vm].Server]; known {
		v.cordoned = true
	}
}

// dropInheritedRequests returns VMs to service whose requests of earlier controllers can't be carried out any more. Their waves are gone.
func (s *State) dropInheritedRequests(now time.Time) {
	for vm, r := range s.inheritedRequests {
		if now.After(r.until) {
			delete(s.inheritedRequests, vm)
			s.placeAll = true
		}
	}
}

// RestoreVMRequests loads the row with the VMs for which earlier controllers sent requests recently. The row was written before this
// term, and no request was sent since its term began, so the ages count from then.
func (s *State) RestoreVMRequests(row provider.Row) {
	var stored storedVMRequests
	if err := json.Unmarshal(row.Value(), &stored); err != nil {
		klog.ErrorS(err, "Failed to decode the stored VM requests")
	}
	for _, sender := range stored.Senders {
		for vm, ageMS := range sender.AgesMS {
			age := time.Duration(ageMS) * time.Millisecond
			s.restoreVMRequest(vm, sender.EntryVM, age)
			if sender.Pending {
				s.inheritRequest(vm, sender.Wave)
			}
		}
	}
	s.restoreEarlierVMRequests(row)
	s.vmRequestsStored = len(s.recentVMRequests) > 0
}

func (s *State) restoreVMRequest(vm, sender string, age time.Duration) {
	s.recentVMRequests[vm] = recentVMRequest{sender: sender, at: s.began.Add(-max(0, age))}
	s.requestedBefore[vm] = true
}

// inheritRequest records that a restored request for maintenance may still be carried out.
func (s *State) inheritRequest(vm string, wave int64) {
	r := s.recentVMRequests[vm]
	if until := r.at.Add(lateRequestTime); until.After(s.began) {
		r.pending, r.wave = true, wave
		s.recentVMRequests[vm] = r
		s.inheritedRequests[vm] = inheritedRequest{wave: wave, until: until}
	}
}

// restoreEarlierVMRequests loads a row of an earlier release, which holds the Unix time in milliseconds of the last request for each
// VM, without its sender.
func (s *State) restoreEarlierVMRequests(row provider.Row) {
	var times map[string]json.RawMessage
	if json.Unmarshal(row.Value(), &times) != nil {
		return
	}
	for vm, value := range times {
		var at int64
		if json.Unmarshal(value, &at) != nil {
			continue
		}
		if age := s.began.Sub(time.UnixMilli(at)); age < s.HandoverPause+LongTerm+maxTimeOfDaySkew {
			s.restoreVMRequest(vm, "", 0)
		}
	}
}

// mayBeRequestedBefore reports whether a request of an earlier controller for a VM may have no effect yet that the list of
// VMs shows.
func (s *State) mayBeRequestedBefore(vm string) bool {
	return s.requestedBefore[vm] && !s.vmsListedAt.After(s.began.Add(s.HandoverPause))
}

// vmRequestAllowed reports whether a request for a VM may be sent. It may not be sent shortly after a request of another entry VM
// for the same VM.
func (s *State) vmRequestAllowed(vm string, now time.Time) bool {
	if !s.maySendRequests(now) {
		return false
	}
	r, known := s.recentVMRequests[vm]
	return !known || r.sender == s.EntryVM || now.Sub(r.at) >= s.HandoverPause+maxVMRequestDelay
}
