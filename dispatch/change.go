package dispatch

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/pistachiolead/pistachiolead/catalogue"
	"github.com/pistachiolead/pistachiolead/peer"
	"github.com/pistachiolead/pistachiolead/provider"
)

// Codes of rejected changes.
const (
	CodeConflict       = "conflict"
	CodeInvalid        = "invalid"
	CodeBudgetExceeded = "budget-exceeded"
	CodeNotReady       = "not-ready"
	CodeUnknownVersion = "unknown-version"
)

// changeWaiter is an operator's request whose reply is delayed until a configuration version is in force.
type changeWaiter struct {
	ticket   uint64
	version  uint64
	deadline time.Time
}

// earlyChange is a zone take-out or key revocation that was applied before it was committed to the table.
type earlyChange struct {
	change  Change
	author  string
	retryAt time.Time
}

// changeRequested commits a configuration change. Forced take-outs and revocations are applied and pushed before the
// commit, because they are safe to apply early. A planned take-out is applied early only if the table can't be reached:
// otherwise the commit decides which of two operators may use an availability budget.
func (s *State) changeRequested(e ChangeRequested) {
	if r := s.unknownZone(e.change); r != nil {
		s.reply(e.ticket, *r)
		return
	}
	if !isPlannedTakeOut(e.change) {
		s.applyAndPushEarly(e.change)
	}
	if !s.Propagation.MayPublish(s.now) {
		s.changeNotStored(e, NewRejected(CodeNotReady,
			"this entry VM isn't recognized by all members yet", retryAfterBusy))
		return
	}
	t, rejected := s.changeTransaction(e.change, e.author)
	if rejected != nil && e.ticket == 0 && rejected.code == CodeBudgetExceeded {
		s.changeNotStored(e, *rejected) // a retry of an early change; commit it once the budget allows
		return
	}
	if rejected != nil {
		s.reply(e.ticket, *rejected)
		return
	}
	t = s.requireMembership(t)
	s.commit(t, UrgencyHigh, s.now.Add(changeTimeout), func(o provider.CommitOutcome) { s.changeCommitted(e, t, o) })
}

// requireMembership makes a configuration change conditional on this entry VM's member row. An entry VM that was
// removed from the members must not commit changes, because the others no longer wait for its acknowledgements.
func (s *State) requireMembership(t provider.Transaction) provider.Transaction {
	own := provider.NewCondition(memberPrefix+s.EntryVM, s.reads.memberVersions[s.EntryVM])
	return provider.NewTransaction(append(slices.Clone(t.Conditions()), own), t.Writes())
}

// isPlannedTakeOut reports whether a change takes an availability zone out subject to the availability budgets.
func isPlannedTakeOut(c Change) bool {
	z, ok := c.(ZoneChange)
	return ok && z.out && !z.force
}

// applyAndPushEarly applies a change and pushes it to the other entry VMs if it may take effect before its commit.
func (s *State) applyAndPushEarly(c Change) {
	if push := earlyMessage(c); push != nil {
		s.applyEarly(push)
		s.pushToAll(push)
	}
}

// earlyMessage returns the message that applies a change before its commit, nil if the change must be committed first.
func earlyMessage(c Change) peer.Change {
	switch c := c.(type) {
	case ZoneChange:
		if c.out {
			return peer.NewZoneTakeOut(c.zone)
		}
	case KeyRevocation:
		return peer.NewRevocation(c.id)
	}
	return nil
}

// unknownZone returns a rejection if the change names an unknown availability zone. A forced change isn't checked, so
// that a zone can be taken out although its VMs are no longer listed.
func (s *State) unknownZone(change Change) *Rejected {
	c, ok := change.(ZoneChange)
	if !ok || c.force || !s.vmsListed || s.zoneExists(c.zone) {
		return nil
	}
	r := NewRejected(CodeInvalid, fmt.Sprintf("there is no availability zone %q", c.zone), 0)
	return &r
}

func (s *State) zoneExists(zone string) bool {
	return zone == s.Zone || len(s.vmsOfZone(zone)) > 0 || len(s.Membership.LiveInZone(zone)) > 0 ||
		slices.Contains(s.config.Zones(), zone)
}

func (s *State) applyEarly(c peer.Change) {
	switch c := c.(type) {
	case peer.TakeOut:
		if !s.config.Zone(c.Zone()).OutOfService() {
			s.setConfig(s.config.WithZoneOutOfService(c.Zone()))
		}
	case peer.Revocation:
		if k, ok := s.config.Key(c.KeyID()); !ok || !k.Revoked() {
			s.setConfig(s.config.WithKeyRevoked(c.KeyID()))
		}
	}
}

// changeTransaction returns the transaction that commits a change, or a rejection if the change isn't valid.
func (s *State) changeTransaction(c Change, author string) (provider.Transaction, *Rejected) {
	reject := func(code, message string) (provider.Transaction, *Rejected) {
		r := NewRejected(code, message, 0)
		return provider.Transaction{}, &r
	}
	switch c := c.(type) {
	case CatalogueChange:
		if c.base != s.config.Version() {
			return reject(CodeConflict, fmt.Sprintf("the configuration is now %s", s.config.LatestRevision()))
		}
		return transactionOrRejection(catalogue.ChangeCatalogue(s.config, c.catalogue, author, s.now))
	case KeyGrant:
		if _, ok := s.config.Catalogue().Team(c.key.Team()); !ok && c.key.Role() != catalogue.RoleAdmin {
			return reject(CodeInvalid, fmt.Sprintf("there is no team %q", c.key.Team()))
		}
		return transactionOrRejection(catalogue.GrantKey(s.config, c.key))
	case KeyRevocation:
		return transactionOrRejection(catalogue.RevokeKey(s.config, c.id, author, s.now))
	case ZoneChange:
		if c.out {
			if r := s.zoneOverBudget(c.zone); r != nil && !c.force {
				return provider.Transaction{}, r
			}
		}
		return transactionOrRejection(catalogue.SetZone(s.config, c.zone, catalogue.NewZoneState(c.out, author, s.now)))
	case VMChange:
		return s.vmTransaction(c, author)
	default:
		panic(fmt.Sprintf("unknown change %T", c))
	}
}

// transactionOrRejection converts an error of building a transaction to a rejection.
func transactionOrRejection(t provider.Transaction, err error) (provider.Transaction, *Rejected) {
	if err == nil {
		return t, nil
	}
	r := NewRejected(CodeInvalid, err.Error(), 0)
	return t, &r
}

func (s *State) vmTransaction(c VMChange, author string) (provider.Transaction, *Rejected) {
	reject := func(code, message string) (provider.Transaction, *Rejected) {
		r := NewRejected(code, message, 0)
		return provider.Transaction{}, &r
	}
	if _, ok := s.vms[c.vm]; !ok {
		return reject(CodeInvalid, fmt.Sprintf("there is no backend server %q", c.vm))
	}
	pool := c.pool
	if pool == "" {
		pool = s.poolOf(c.vm)
	}
	if _, ok := s.config.Catalogue().Pool(pool); !ok {
		return reject(CodeInvalid, fmt.Sprintf("there is no pool %q", pool))
	}
	if !c.force {
		if r := s.vmOverBudget(c.vm, pool, c.out); r != nil {
			return provider.Transaction{}, r
		}
	}
	return transactionOrRejection(
		catalogue.SetVM(s.config, c.vm, catalogue.NewVMState(pool, c.out, c.reason, author, s.now)))
}

// zoneOverBudget returns a rejection if taking an availability zone out would exceed the availability budget of a pool.
// VMs that are absent only because of an early take-out of this zone count as additional absences.
func (s *State) zoneOverBudget(zone string) *Rejected {
	leaving := make(map[string]int)
	for _, id := range s.vmsOfZone(zone) {
		n := 1
		if s.absentExcludingEarly(id, zone) {
			n = 0
		}
		leaving[s.poolOf(id)] += n
	}
	for _, pool := range slices.Sorted(maps.Keys(leaving)) {
		if r := s.overBudget(pool, leaving[pool], zone); r != nil {
			return r
		}
	}
	return nil
}

// vmOverBudget returns a rejection if changing a VM as requested would exceed the availability budget of its new pool.
func (s *State) vmOverBudget(id, pool string, out bool) *Rejected {
	switch {
	case pool != s.poolOf(id) && (out || s.absentApartFromTakeOut(id, "")):
		return s.overBudget(pool, 1, "")
	case out && s.absent(id):
		return s.overBudget(pool, 0, "")
	case out:
		return s.overBudget(pool, 1, "")
	default:
		return nil
	}
}

// overBudget returns a rejection if n more absences would exceed the availability budget of a pool. Planned and
// unplanned absences count alike; those caused only by an early take-out of earlyZone don't count. The change's
// transaction is conditional on the configuration version, so that two operators can't use the same budget.
func (s *State) overBudget(pool string, n int, earlyZone string) *Rejected {
	p, ok := s.config.Catalogue().Pool(pool)
	if !ok {
		return nil
	}
	absent := s.absentIn(pool, earlyZone)
	if absent+n <= p.Budget() {
		return nil
	}
	r := NewRejected(CodeBudgetExceeded, fmt.Sprintf(
		"pool %q has %d VMs absent and a budget of %d; %d more would exceed it", pool, absent, p.Budget(), n), 0)
	return &r
}

// absent reports whether a VM is out of service, planned or unplanned.
func (s *State) absent(id string) bool { return s.absentExcludingEarly(id, "") }

// absentExcludingEarly is like absent, but ignores an early take-out of earlyZone.
func (s *State) absentExcludingEarly(id, earlyZone string) bool {
	return s.config.VM(id).OutOfService() || s.absentApartFromTakeOut(id, earlyZone)
}

// absentApartFromTakeOut is like absentExcludingEarly, but ignores the take-out of the VM itself.
func (s *State) absentApartFromTakeOut(id, earlyZone string) bool {
	v, listed := s.vms[id]
	if !listed || v.Leaving() {
		return true
	}
	isEarly := v.Zone() == earlyZone && slices.Contains(s.config.EarlyZoneTakeOuts(), earlyZone)
	return (s.config.Zone(v.Zone()).OutOfService() && !isEarly) || s.unreachable(id)
}

// unreachable reports whether a backend server of this entry VM's zone hasn't been reachable for longer than taskLease.
// It is false for servers of other zones, of which this entry VM knows only the VM list.
func (s *State) unreachable(id string) bool {
	v := s.vms[id]
	if v.Zone() != s.Zone {
		return false
	}
	since, down := s.unreachableSince[id]
	return down && s.now.Sub(since) > taskLease
}

// absentIn returns the number of absent VMs of a pool, including VMs with a row that are no longer listed. It ignores
// an early take-out of earlyZone.
func (s *State) absentIn(pool, earlyZone string) int {
	n := 0
	for id := range s.vms {
		if s.poolOf(id) == pool && s.absentExcludingEarly(id, earlyZone) {
			n++
		}
	}
	for _, id := range s.config.VMs() {
		if _, listed := s.vms[id]; !listed && s.config.VM(id).Pool() == pool {
			n++
		}
	}
	return n
}

func (s *State) vmsOfZone(zone string) []string {
	var ids []string
	for _, id := range slices.Sorted(maps.Keys(s.vms)) {
		if s.vms[id].Zone() == zone {
			ids = append(ids, id)
		}
	}
	return ids
}

// changeCommitted handles the outcome of committing a change. A committed change is applied and pushed, and the
// operator's reply is delayed until it is in force.
func (s *State) changeCommitted(e ChangeRequested, t provider.Transaction, o provider.CommitOutcome) {
	switch o := o.(type) {
	case provider.Committed:
		s.count("configuration_changes")
		rows := WrittenRows(t, o.Version())
		s.applyRows(rows)
		s.pushToAll(peer.NewConfigurationChange(s.config.Version(), rows))
		s.awaitInForce(e.ticket, s.config.Version())
	case provider.Conflict:
		s.changeConflict(e, o.Row())
	case provider.Unavailable:
		s.changeNotStored(e, NewRejected(CodeStoreUnavailable, "the change could not be stored", retryAfterBusy))
	case provider.OutcomeUnknown:
		s.changeNotStored(e, NewRejected(CodeStoreUnavailable,
			"the outcome of storing the change is unknown; read the configuration before repeating it", retryAfterBusy))
	}
}

// changeConflict handles a change that conflicted with an earlier one. The rejection names the earlier change. A forced
// take-out or a revocation is valid on any version, so it is retried on the new one.
func (s *State) changeConflict(e ChangeRequested, row provider.Row) {
	s.count("configuration_conflicts")
	s.reads.configDue = s.now
	if row.Key() == memberPrefix+s.EntryVM {
		s.changeNotStored(e, NewRejected(CodeNotReady,
			"this entry VM is no longer a member", retryAfterBusy))
		return
	}
	if earlyMessage(e.change) != nil && (!isPlannedTakeOut(e.change) || e.ticket == 0) {
		s.changeNotStored(e, Rejected{})
		return
	}
	s.reply(e.ticket, NewRejected(CodeConflict, catalogue.ConflictError(row).Error(), 0))
}

// changeNotStored handles a change that wasn't committed. A change that may take effect before its commit is kept and
// retried; for any other the rejection is returned.
func (s *State) changeNotStored(e ChangeRequested, r Rejected) {
	if earlyMessage(e.change) == nil {
		s.reply(e.ticket, r)
		return
	}
	if isPlannedTakeOut(e.change) && e.ticket != 0 {
		if over := s.zoneOverBudget(e.change.(ZoneChange).zone); over != nil {
			s.reply(e.ticket, *over)
			return
		}
		s.applyAndPushEarly(e.change)
	}
	s.earlyChanges[earlyChangeKey(e.change)] = &earlyChange{
		change: e.change, author: e.author, retryAt: s.now.Add(earlyChangeRetryDelay),
	}
	s.reply(e.ticket, ChangeStatus{})
}

func earlyChangeKey(c Change) string {
	switch c := c.(type) {
	case ZoneChange:
		return "zone/" + c.zone
	case KeyRevocation:
		return "key/" + c.id
	default:
		panic(fmt.Sprintf("change %T is never applied early", c))
	}
}

// retryEarly commits the early changes whose retry is due.
func (s *State) retryEarly() {
	for _, name := range slices.Sorted(maps.Keys(s.earlyChanges)) {
		e := s.earlyChanges[name]
		if s.now.Before(e.retryAt) {
			continue
		}
		delete(s.earlyChanges, name)
		if s.alreadyStored(e.change) {
			continue
		}
		s.changeRequested(ChangeRequested{change: e.change, author: e.author})
	}
}

// alreadyStored reports whether an early change has been committed to the table, by this or another entry VM.
func (s *State) alreadyStored(c Change) bool {
	switch c := c.(type) {
	case ZoneChange:
		return s.config.Zone(c.zone).OutOfService() && !slices.Contains(s.config.EarlyZoneTakeOuts(), c.zone)
	case KeyRevocation:
		k, ok := s.config.Key(c.id)
		return ok && k.Revoked() && !slices.Contains(s.config.EarlyKeyRevocations(), c.id)
	default:
		return false
	}
}

func (s *State) awaitInForce(ticket, version uint64) {
	if ticket == 0 {
		return
	}
	s.changeWaiters = append(s.changeWaiters, changeWaiter{
		ticket: ticket, version: version, deadline: s.now.Add(inForceTimeout),
	})
	s.answerChangeWaiters()
}

// answerChangeWaiters replies to the operators whose change is in force, and reports a change as pending once
// inForceTimeout has passed.
func (s *State) answerChangeWaiters() {
	kept := s.changeWaiters[:0]
	for _, c := range s.changeWaiters {
		st := s.changeStatus(c.version)
		if st.inForce || !s.now.Before(c.deadline) {
			s.reply(c.ticket, st)
			continue
		}
		kept = append(kept, c)
	}
	s.changeWaiters = kept
}

func (s *State) changeQueried(e ChangeQueried) {
	if e.version > s.config.Version() {
		s.reply(e.ticket, NewRejected(CodeUnknownVersion,
			"this entry VM doesn't hold that configuration version yet", retryAfterBusy))
		return
	}
	s.reply(e.ticket, s.changeStatus(e.version))
}

// WrittenRows returns the rows that a committed transaction wrote at a table version. Deleted rows are included as
// such.
func WrittenRows(t provider.Transaction, version uint64) []provider.Row {
	rows := make([]provider.Row, 0, len(t.Writes()))
	for _, w := range t.Writes() {
		if w.Delete() {
			rows = append(rows, provider.NewDeletedRow(w.Key(), version))
			continue
		}
		rows = append(rows, provider.NewRow(w.Key(), w.Value(), version))
	}
	return rows
}

func (s *State) pushToAll(c peer.Change) {
	for _, id := range s.Membership.Live() {
		if id == s.EntryVM {
			continue
		}
		s.emit(Push{peer: id, address: s.Membership.Address(id), change: c})
	}
}

// changePushed applies a configuration change that another entry VM pushed.
func (s *State) changePushed(e PushReceived) {
	switch c := e.change.(type) {
	case peer.ConfigurationChange:
		// A push of any version but the next would skip the versions in between, so the table is read instead.
		if c.Version() != s.config.Version()+1 || !s.applyRows(c.Rows()) {
			s.reads.configDue = s.now
		}
	default:
		s.applyEarly(c)
	}
	s.reply(e.ticket, ChangeStatus{version: s.config.Version()})
}

func (s *State) pushEnded(e PushEnded) {
	if !e.ok {
		return
	}
	s.Propagation.Acknowledged(e.peer, e.version)
	s.answerChangeWaiters()
}
