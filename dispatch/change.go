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

// changeWaiter is an operator who waits until a version is in force.
type changeWaiter struct {
	ticket  uint64
	version uint64
	until   time.Time
}

// earlyChange is a take-out or revocation that was applied before the table has it.
type earlyChange struct {
	change Change
	author string
	due    time.Time
}

// changeRequested commits a configuration change. Forced take-outs and revocations are applied and pushed first, because
// they are safe to apply early. A planned take-out is applied early only if the table can't be reached: the table
// decides which of two operators may use an availability budget.
func (s *State) changeRequested(e ChangeRequested) {
	if r := s.unknownZone(e.change); r != nil {
		s.reply(e.ticket, *r)
		return
	}
	if !planned(e.change) {
		s.applyAndPush(e.change)
	}
	if !s.Acceptance.MayPublish(s.now) {
		s.changeDelayed(e, NewRejected(CodeNotReady, "this entry VM isn't known to all others yet", retryAfterBusy))
		return
	}
	t, rejected := s.changeTransaction(e.change, e.author)
	if rejected != nil && e.ticket == 0 && rejected.code == CodeBudgetExceeded {
		s.changeDelayed(e, *rejected) // applied early, and to be stored once the budget allows
		return
	}
	if rejected != nil {
		s.reply(e.ticket, *rejected)
		return
	}
	t = s.asMember(t)
	s.commit(t, UrgencyHigh, s.now.Add(changeTimeout), func(o provider.CommitOutcome) { s.changeCommitted(e, t, o) })
}

// asMember makes a configuration change conditional on the own member row: an entry VM that was removed from the members
// must not commit changes, because the others no longer take it into account.
func (s *State) asMember(t provider.Transaction) provider.Transaction {
	own := provider.NewCondition(memberPrefix+s.Self, s.reads.memberVersions[s.Self])
	return provider.NewTransaction(append(slices.Clone(t.Conditions()), own), t.Writes())
}

// planned reports whether a change is a take-out of an availability zone within the budgets.
func planned(c Change) bool {
	z, ok := c.(ZoneChange)
	return ok && z.out && !z.force
}

// applyAndPush applies a change early if that is safe.
func (s *State) applyAndPush(c Change) {
	if push := earlyPush(c); push != nil {
		s.applyEarly(push)
		s.pushToAll(push)
	}
}

// earlyPush returns the message that applies a change early, nil if the change must be stored first.
func earlyPush(c Change) peer.Change {
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

// unknownZone returns a rejection if the change names an availability zone without a VM. A forced change isn't checked,
// so that a zone can be taken out whose VMs are gone from the list.
func (s *State) unknownZone(change Change) *Rejected {
	c, ok := change.(ZoneChange)
	if !ok || c.force || !s.listed || s.knowsZone(c.zone) {
		return nil
	}
	r := NewRejected(CodeInvalid, fmt.Sprintf("there is no availability zone %q", c.zone), 0)
	return &r
}

func (s *State) knowsZone(zone string) bool {
	return zone == s.Zone || len(s.vmsOfZone(zone)) > 0 || len(s.Members.LiveInZone(zone)) > 0 ||
		slices.Contains(s.config.Zones(), zone)
}

func (s *State) applyEarly(c peer.Change) {
	switch c := c.(type) {
	case peer.TakeOut:
		if !s.config.Zone(c.Zone()).Out() {
			s.setConfig(s.config.WithZoneOut(c.Zone()))
		}
	case peer.Revocation:
		if k, ok := s.config.Key(c.KeyID()); !ok || !k.Revoked() {
			s.setConfig(s.config.WithKeyRevoked(c.KeyID()))
		}
	}
}

// changeTransaction returns the transaction of a change, or why it can't be made.
func (s *State) changeTransaction(c Change, author string) (provider.Transaction, *Rejected) {
	reject := func(code, message string) (provider.Transaction, *Rejected) {
		r := NewRejected(code, message, 0)
		return provider.Transaction{}, &r
	}
	switch c := c.(type) {
	case CatalogueChange:
		if c.base != s.config.Version() {
			return reject(CodeConflict, fmt.Sprintf("the configuration is now %s", s.config.Change()))
		}
		return built(catalogue.ChangeCatalogue(s.config, c.catalogue, author, s.now))
	case KeyGrant:
		if _, ok := s.config.Catalogue().Team(c.key.Team()); !ok && c.key.Role() != catalogue.RoleAdmin {
			return reject(CodeInvalid, fmt.Sprintf("there is no team %q", c.key.Team()))
		}
		return built(catalogue.GrantKey(s.config, c.key))
	case KeyRevocation:
		return built(catalogue.RevokeKey(s.config, c.id, author, s.now))
	case ZoneChange:
		if c.out {
			if r := s.zoneOverBudget(c.zone); r != nil && !c.force {
				return provider.Transaction{}, r
			}
		}
		return built(catalogue.SetZone(s.config, c.zone, catalogue.NewZoneState(c.out, author, s.now)))
	case VMChange:
		return s.vmTransaction(c, author)
	default:
		panic(fmt.Sprintf("unknown change %T", c))
	}
}

// built maps the error of a transaction that can't be built to a rejection.
func built(t provider.Transaction, err error) (provider.Transaction, *Rejected) {
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
	return built(catalogue.SetVM(s.config, c.vm, catalogue.NewVMState(pool, c.out, c.reason, author, s.now)))
}

// zoneOverBudget returns a rejection if taking an availability zone out would exceed the availability budget of a pool.
// What only an early take-out of the zone itself makes absent counts as leaving.
func (s *State) zoneOverBudget(zone string) *Rejected {
	leaving := make(map[string]int)
	for _, id := range s.vmsOfZone(zone) {
		n := 1
		if s.absentBesides(id, zone) {
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

// vmOverBudget returns a rejection if a VM would exceed the availability budget of the pool that it is to be in.
func (s *State) vmOverBudget(id, pool string, out bool) *Rejected {
	switch {
	case pool != s.poolOf(id) && (out || s.absentOtherwise(id, "")):
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
// unplanned absences count together. The transaction is conditional on the configuration version, so that two operators
// can't use the same budget.
func (s *State) overBudget(pool string, n int, besides string) *Rejected {
	p, ok := s.config.Catalogue().Pool(pool)
	if !ok {
		return nil
	}
	absent := s.absentIn(pool, besides)
	if absent+n <= p.Budget() {
		return nil
	}
	r := NewRejected(CodeBudgetExceeded, fmt.Sprintf(
		"pool %q has %d VMs absent and a budget of %d; %d more would exceed it", pool, absent, p.Budget(), n), 0)
	return &r
}

// absent reports whether a VM is out of service, planned or not.
func (s *State) absent(id string) bool { return s.absentBesides(id, "") }

// absentBesides is absent without an early take-out of an availability zone.
func (s *State) absentBesides(id, early string) bool {
	return s.config.VM(id).Out() || s.absentOtherwise(id, early)
}

// absentOtherwise is absentBesides without the VM's own take-out.
func (s *State) absentOtherwise(id, early string) bool {
	v, listed := s.vms[id]
	if !listed || v.Leaving() {
		return true
	}
	isEarly := v.Zone() == early && slices.Contains(s.config.EarlyZones(), early)
	return (s.config.Zone(v.Zone()).Out() && !isEarly) || s.unreachable(id)
}

// unreachable reports whether a backend server of the own zone can't be reached. Servers of other zones are judged by
// the VM list alone.
func (s *State) unreachable(id string) bool {
	v := s.vms[id]
	if v.Zone() != s.Zone {
		return false
	}
	since, down := s.downSince[id]
	return down && s.now.Sub(since) > taskLease
}

// absentIn counts the absent VMs of a pool, those included that the list no longer has, without an early take-out.
func (s *State) absentIn(pool, early string) int {
	n := 0
	for id := range s.vms {
		if s.poolOf(id) == pool && s.absentBesides(id, early) {
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

// changeCommitted applies and pushes a change that is in the table, and has the operator wait until it is in force.
func (s *State) changeCommitted(e ChangeRequested, t provider.Transaction, o provider.CommitOutcome) {
	switch o := o.(type) {
	case provider.Committed:
		s.count("configuration_changes")
		rows := RowsOf(t, o.Version())
		s.applyRows(rows)
		s.pushToAll(peer.NewConfiguration(s.config.Version(), rows))
		s.waitInForce(e.ticket, s.config.Version())
	case provider.Conflict:
		s.changeConflict(e, o.Row())
	case provider.Unavailable:
		s.changeDelayed(e, NewRejected(CodeStoreUnavailable, "the change could not be stored", retryAfterBusy))
	case provider.Unknown:
		s.changeDelayed(e, NewRejected(CodeStoreUnavailable,
			"whether the change was stored isn't known; read the configuration before repeating it", retryAfterBusy))
	}
}

// changeConflict tells the operator whose change came first. A take-out or revocation applies whatever came first,
// so it is tried again on the new version.
func (s *State) changeConflict(e ChangeRequested, row provider.Row) {
	s.count("configuration_conflicts")
	s.reads.configDue = s.now
	if row.Key() == memberPrefix+s.Self {
		s.changeDelayed(e, NewRejected(CodeNotReady, "this entry VM is no longer a member", retryAfterBusy))
		return
	}
	if earlyPush(e.change) != nil && (!planned(e.change) || e.ticket == 0) {
		s.changeDelayed(e, Rejected{})
		return
	}
	s.reply(e.ticket, NewRejected(CodeConflict, catalogue.ConflictError(row).Error(), 0))
}

// changeDelayed handles a change that isn't stored. One that was applied early is kept and stored later.
func (s *State) changeDelayed(e ChangeRequested, r Rejected) {
	if earlyPush(e.change) == nil {
		s.reply(e.ticket, r)
		return
	}
	if planned(e.change) && e.ticket != 0 {
		if over := s.zoneOverBudget(e.change.(ZoneChange).zone); over != nil {
			s.reply(e.ticket, *over)
			return
		}
		s.applyAndPush(e.change)
	}
	s.early[earlyName(e.change)] = &earlyChange{change: e.change, author: e.author, due: s.now.Add(earlyRetryDelay)}
	s.reply(e.ticket, Changed{})
}

func earlyName(c Change) string {
	switch c := c.(type) {
	case ZoneChange:
		return "zone/" + c.zone
	case KeyRevocation:
		return "key/" + c.id
	default:
		panic(fmt.Sprintf("change %T is never applied early", c))
	}
}

// retryEarly stores take-outs and revocations that could not be stored at once.
func (s *State) retryEarly() {
	for _, name := range slices.Sorted(maps.Keys(s.early)) {
		e := s.early[name]
		if s.now.Before(e.due) {
			continue
		}
		delete(s.early, name)
		if s.alreadyStored(e.change) {
			continue
		}
		s.changeRequested(ChangeRequested{change: e.change, author: e.author})
	}
}

// alreadyStored reports whether the table has an early change, by whoever's hand.
func (s *State) alreadyStored(c Change) bool {
	switch c := c.(type) {
	case ZoneChange:
		return s.config.Zone(c.zone).Out() && !slices.Contains(s.config.EarlyZones(), c.zone)
	case KeyRevocation:
		k, ok := s.config.Key(c.id)
		return ok && k.Revoked() && !slices.Contains(s.config.EarlyKeys(), c.id)
	default:
		return false
	}
}

func (s *State) waitInForce(ticket, version uint64) {
	if ticket == 0 {
		return
	}
	s.changes = append(s.changes, changeWaiter{ticket: ticket, version: version, until: s.now.Add(changeWait)})
	s.checkChanges()
}

// checkChanges answers the operators whose change is in force, or who have waited long enough to be told that it is
// pending.
func (s *State) checkChanges() {
	kept := s.changes[:0]
	for _, c := range s.changes {
		st := s.statusOf(c.version)
		if st.inForce || !s.now.Before(c.until) {
			s.reply(c.ticket, st)
			continue
		}
		kept = append(kept, c)
	}
	s.changes = kept
}

func (s *State) changeQueried(e ChangeQueried) {
	if e.version > s.config.Version() {
		s.reply(e.ticket, NewRejected(CodeUnknownVersion, "this entry VM hasn't seen that version", retryAfterBusy))
		return
	}
	s.reply(e.ticket, s.statusOf(e.version))
}

// RowsOf returns the rows that a committed transaction wrote.
func RowsOf(t provider.Transaction, version uint64) []provider.Row {
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
	for _, id := range s.Members.Live() {
		if id == s.Self {
			continue
		}
		s.emit(Push{peer: id, address: s.Members.Address(id), change: c})
	}
}

// pushed applies what another entry VM pushed.
func (s *State) pushed(e Pushed) {
	switch c := e.change.(type) {
	case peer.Configuration:
		// Rows pushed out of order would leave out what came between: the next read brings them.
		if c.Version() != s.config.Version()+1 || !s.applyRows(c.Rows()) {
			s.reads.configDue = s.now
		}
	default:
		s.applyEarly(c)
	}
	s.reply(e.ticket, Changed{version: s.config.Version()})
}

func (s *State) pushEnded(e PushEnded) {
	if !e.ok {
		return
	}
	s.Acceptance.Acknowledged(e.peer, e.version)
	s.checkChanges()
}
