package fleet

import "slices"

// setRegisteredVM records on which VM a server has registered. "" stands for none. The registrations show more than the list of
// VMs, which may be older than a server.
func (s *State) setRegisteredVM(v *server, vm string) {
	previous := v.reg.VM
	if previous == vm && slices.Contains(s.serversByVM[vm], v) {
		return
	}
	s.serversByVM[previous] = slices.DeleteFunc(s.serversByVM[previous], func(other *server) bool { return other == v })
	if len(s.serversByVM[previous]) == 0 {
		delete(s.serversByVM, previous)
	}
	if vm != "" {
		s.longestServerName = max(s.longestServerName, encodedName(vm))
		s.serversByVM[vm] = append(s.serversByVM[vm], v)
		v.maintenanceDue = s.maintenanceDue[vm]
	}
}

// restoreVM records the stored VM of a server. Its registration may have lapsed before the term.
func (s *State) restoreVM(v *server, vm string) {
	if v.reg.VM == "" && vm != "" {
		s.setRegisteredVM(v, vm)
		v.reg.VM = vm
	}
}

// runsOn returns the number of runs that may exist on a VM, on its listed server and on those that have registered there.
func (s *State) runsOn(vm string) int {
	n := 0
	listed, known := s.servers[s.vms[vm].Server]
	if known {
		n = len(listed.attempts)
	}
	for _, v := range s.serversByVM[vm] {
		if v != listed {
			n += len(v.attempts)
		}
	}
	return n
}

// listIsCurrent reports whether the list of VMs shows the VM's present server. The list may be older than a move or a
// restart, and the new server may already have runs.
func (s *State) listIsCurrent(vm string) bool {
	listed, known := s.servers[s.vms[vm].Server]
	for _, v := range s.serversByVM[vm] {
		if v.registered && !v.retired && (!known || v.incarnation > listed.incarnation) {
			return false
		}
	}
	if known {
		return listed.registered && !listed.retired
	}
	return s.vmsListedAt.After(s.droppedAt[s.vms[vm].Server]) && s.vmsListedAt.After(s.moveGivenUpAt[vm])
}
