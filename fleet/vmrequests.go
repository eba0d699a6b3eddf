package fleet

import (
	"encoding/json"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/pistachiolead/pistachiolead/provider"
)

// VMRequestsKey is the key of the row with the VMs for which a move or maintenance was requested recently. A request is
// sent only after its VM is stored in the row, so that the next controller knows for which VMs it must not send
// requests yet.
const VMRequestsKey = "control/vm-orders"

// maxClockSkew is the largest difference between the clocks of two entry VMs in normal operation.
const maxClockSkew = 500 * time.Millisecond

// vmRequestBytes bounds the encoded size of a VM in the row without its name.
const vmRequestBytes = 32

// vmRequest is a request to move or maintain a VM, which is sent once its intent is stored.
type vmRequest struct {
	vm     string
	effect Effect
}

// addVMRequests adds the intents of the pending requests to a commit. They are as many as the row holds beside the recent ones.
func (s *State) addVMRequests(c *commit, now time.Time) {
	if len(s.vmRequests) == 0 {
		return
	}
	for vm, at := range s.recentVMRequests {
		if now.Sub(at) > s.HandoverPause+LongTerm {
			delete(s.recentVMRequests, vm)
		}
	}
	stored, size := make(map[string]int64, len(s.recentVMRequests)), 0
	add := func(vm string, at time.Time) bool {
		size += maxEscapedBytes*len(vm) + vmRequestBytes
		if size > maxRowBytes {
			return false
		}
		stored[vm] = at.UnixMilli()
		return true
	}
	for vm, at := range s.recentVMRequests {
		add(vm, at)
	}
	count := 0
	for count < len(s.vmRequests) && add(s.vmRequests[count].vm, now) {
		count++
	}
	if count == 0 {
		return
	}
	data, err := json.Marshal(stored)
	if err != nil {
		panic(err) // strings and numbers can always be encoded
	}
	requests := slices.Clone(s.vmRequests[:count])
	if !s.add(c, requestsPart{requests: requests}, provider.NewPut(VMRequestsKey, data)) {
		return
	}
	s.vmRequests = slices.Clone(s.vmRequests[count:])
	for _, r := range requests {
		s.recentVMRequests[r.vm] = now
	}
}

// RestoreVMRequests loads the row with the VMs for which the previous controller recently sent requests. Unless that was an earlier
// process of this entry VM, both would take turns at a VM if this one sent requests for it at once.
func (s *State) RestoreVMRequests(row provider.Row, previous Term) {
	var stored map[string]int64
	if err := json.Unmarshal(row.Value(), &stored); err != nil {
		klog.ErrorS(err, "Failed to decode the stored VM requests")
	}
	for vm, at := range stored {
		if time.UnixMilli(at).Add(s.HandoverPause + LongTerm + maxClockSkew).After(s.began) {
			s.requestedBefore[vm] = true
		}
		if previous.Holder == s.EntryVM {
			continue
		}
		// The clocks may differ by more than maxClockSkew, but the VM is never blocked for longer than HandoverPause
		// from the start of this term.
		allowedAt := time.UnixMilli(at).Add(s.HandoverPause + maxClockSkew)
		s.vmRequestsAllowedAt[vm] = earlier(allowedAt, s.began.Add(s.HandoverPause))
	}
}

// mayBeRequestedBefore reports whether a request of the previous controller for a VM may have no effect yet that the list of
// VMs shows.
func (s *State) mayBeRequestedBefore(vm string) bool {
	return s.requestedBefore[vm] && !s.vmsListedAt.After(s.began.Add(s.HandoverPause))
}

// vmRequestAllowed reports whether a request for a VM may be sent. It may not be sent shortly after a request of the
// previous controller for the same VM.
func (s *State) vmRequestAllowed(vm string, now time.Time) bool {
	return s.maySendRequests(now) && !now.Before(s.vmRequestsAllowedAt[vm])
}
