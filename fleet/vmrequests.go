package fleet

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"k8s.io/klog/v2"

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
}

// storedVMRequests is the row of recent requests for VMs. It holds their ages, as the time of day differs between entry VMs.
type storedVMRequests struct {
	Senders []vmRequestSender `json:"senders"`
}

// vmRequestSender is an entry VM with the VMs for which it sent requests.
type vmRequestSender struct {
	EntryVM string           `json:"entry-vm"`
	AgesMS  map[string]int64 `json:"ages-ms"` // ages of the requests when the row was written, by VM
}

// addVMRequests adds the intents of the pending requests to a commit, as many as its row has room for beside the recent ones. While there
// are recent requests, the row is also written from time to time, so that their stored ages don't lag far behind and they are removed.
func (s *State) addVMRequests(c *commit, now time.Time) {
	if s.stopping {
		s.vmRequests = nil // this controller sends no more of them
	}
	for vm, r := range s.recentVMRequests {
		if now.Sub(r.at) > s.HandoverPause+LongTerm {
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
		s.recentVMRequests[r.vm] = recentVMRequest{sender: s.EntryVM, at: now, inFlight: true}
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
	for n, r := range s.vmRequests {
		if size += maxEscapedBytes*len(r.vm) + len(`"":99999,`); size > maxVMRequestsBytes {
			return n
		}
	}
	return len(s.vmRequests)
}

func (s *State) encodeVMRequests(now time.Time) []byte {
	ages := make(map[string]map[string]int64)
	for vm, r := range s.recentVMRequests {
		if ages[r.sender] == nil {
			ages[r.sender] = make(map[string]int64)
		}
		ages[r.sender][vm] = r.age(now).Milliseconds()
	}
	stored := storedVMRequests{Senders: []vmRequestSender{}}
	for sender, of := range ages {
		stored.Senders = append(stored.Senders, vmRequestSender{EntryVM: sender, AgesMS: of})
	}
	slices.SortFunc(stored.Senders, func(a, b vmRequestSender) int { return strings.Compare(a.EntryVM, b.EntryVM) })
	data, err := json.Marshal(stored)
	if err != nil {
		panic(err) // strings and numbers can always be encoded
	}
	return data
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
		s.recentVMRequests[r.vm] = recentVMRequest{sender: s.EntryVM, at: now, inFlight: true}
		s.emit(r.effect)
	}
}

// vmRequestEnded records that a request for a VM has an outcome, or got no response in time.
func (s *State) vmRequestEnded(vm string, now time.Time) {
	if r, known := s.recentVMRequests[vm]; known && r.inFlight {
		r.at, r.inFlight = now, false
		s.recentVMRequests[vm] = r
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
			s.restoreVMRequest(vm, sender.EntryVM, time.Duration(ageMS)*time.Millisecond)
		}
	}
	s.restoreEarlierVMRequests(row)
	s.vmRequestsStored = len(s.recentVMRequests) > 0
}

func (s *State) restoreVMRequest(vm, sender string, age time.Duration) {
	s.recentVMRequests[vm] = recentVMRequest{sender: sender, at: s.began.Add(-max(0, age))}
	s.requestedBefore[vm] = true
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
