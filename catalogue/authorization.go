package catalogue

import (
	"fmt"
	"strings"
	"time"
)

// Authorization is the outcome of a check of rights: Allowed or Denied.
type Authorization interface{ authorization() }

// Allowed says that the key may do what was asked.
type Allowed struct {
	key   Key
	team  Team
	entry Entry
}

// Key returns the key that was used.
func (a Allowed) Key() Key { return a.key }

// Team returns the team that the work counts for. It is the zero Team for an admin without a team.
func (a Allowed) Team() Team { return a.team }

// Entry returns the entry that was asked for, the zero Entry if none was.
func (a Allowed) Entry() Entry { return a.entry }

// Code says why something was denied.
type Code string

// Codes of denials.
const (
	CodeUnknownKey     Code = "unknown-key"
	CodeRevokedKey     Code = "revoked-key"
	CodeExpiredKey     Code = "expired-key"
	CodeUnknownEntry   Code = "unknown-entry"
	CodeTeamNotAllowed Code = "team-not-allowed"
	CodeRoleNotAllowed Code = "role-not-allowed"
)

// Denied says that nothing may be done, and why. It never holds a secret.
type Denied struct {
	code     Code
	sentence string
}

// Code returns the reason.
func (d Denied) Code() Code { return d.code }

// Sentence returns the reason as a sentence for the caller.
func (d Denied) Sentence() string { return d.sentence }

func (Allowed) authorization() {}
func (Denied) authorization()  {}

// Authorize decides whether the holder of secret may submit work to the entry. The key's team must be in the
// catalogue, because its limit and share apply; on an open entry any such key may submit.
func Authorize(c *Configuration, secret, entry string, now time.Time) Authorization {
	k, denied := authenticate(c, secret, now)
	if denied != nil {
		return *denied
	}
	e, ok := c.catalogue.Entry(entry)
	if !ok {
		return Denied{CodeUnknownEntry, fmt.Sprintf("There is no entry %s.", quote(entry))}
	}
	t, ok := c.catalogue.Team(k.team)
	if !ok || !e.Admits(t.name) {
		return Denied{CodeTeamNotAllowed, fmt.Sprintf("Team %q may not submit to entry %s.", k.team, e.name)}
	}
	return Allowed{key: k, team: t, entry: e}
}

// AuthorizeAdmin decides whether the holder of secret may change the whole configuration.
func AuthorizeAdmin(c *Configuration, secret string, now time.Time) Authorization {
	k, denied := authenticate(c, secret, now)
	if denied != nil {
		return *denied
	}
	if k.role != RoleAdmin {
		return Denied{CodeRoleNotAllowed, fmt.Sprintf("Key %s has role %s; this needs role admin.", k.id, k.role)}
	}
	t, _ := c.catalogue.Team(k.team)
	return Allowed{key: k, team: t}
}

// AuthorizeOwner decides whether the holder of secret may change the entry: an admin may, and so may a key with role
// owner of the team that owns the entry now.
func AuthorizeOwner(c *Configuration, secret, entry string, now time.Time) Authorization {
	k, denied := authenticate(c, secret, now)
	if denied != nil {
		return *denied
	}
	e, ok := c.catalogue.Entry(entry)
	if !ok {
		return Denied{CodeUnknownEntry, fmt.Sprintf("There is no entry %s.", quote(entry))}
	}
	if k.role == RoleSubmitter {
		return Denied{CodeRoleNotAllowed, fmt.Sprintf("Key %s has role %s; this needs role owner.", k.id, k.role)}
	}
	if k.role == RoleOwner && k.team != e.owner {
		return Denied{CodeTeamNotAllowed, fmt.Sprintf("Entry %s belongs to another team than %q.", e.name, k.team)}
	}
	t, _ := c.catalogue.Team(k.team)
	return Allowed{key: k, team: t, entry: e}
}

// AuthorizeCatalogue decides whether the holder of secret may replace the catalogue by next. An admin may; a key with
// role owner may if only entries change that its team owns both before and after, where they exist.
func AuthorizeCatalogue(c *Configuration, secret string, next *Catalogue, now time.Time) Authorization {
	k, denied := authenticate(c, secret, now)
	if denied != nil {
		return *denied
	}
	t, _ := c.catalogue.Team(k.team)
	if k.role == RoleAdmin {
		return Allowed{key: k, team: t}
	}
	if k.role != RoleOwner {
		return Denied{CodeRoleNotAllowed, fmt.Sprintf("Key %s has role %s; this needs role owner.", k.id, k.role)}
	}
	for _, d := range Diff(c.catalogue, next) {
		if d.kind != "entry" || !ownedBy(c.catalogue, d.name, k.team) || !ownedBy(next, d.name, k.team) {
			return Denied{CodeTeamNotAllowed, fmt.Sprintf("Team %s may not change %s %s.", k.team, d.kind, d.name)}
		}
	}
	return Allowed{key: k, team: t}
}

func ownedBy(c *Catalogue, entry, team string) bool {
	e, ok := c.Entry(entry)
	return !ok || e.owner == team
}

// authenticate finds the key of a secret. The secret itself is never repeated in a denial, because callers send all
// kinds of text by mistake.
func authenticate(c *Configuration, secret string, now time.Time) (Key, *Denied) {
	id, _, _ := strings.Cut(secret, ".")
	k, ok := c.Key(id)
	if !ok || !k.Verify(secret) {
		return Key{}, &Denied{CodeUnknownKey, "The key is not known."}
	}
	if k.revoked {
		return Key{}, &Denied{CodeRevokedKey, fmt.Sprintf("Key %s was revoked.", k.id)}
	}
	if k.Expired(now) {
		return Key{}, &Denied{CodeExpiredKey, fmt.Sprintf("Key %s expired at %s.", k.id, k.expires.Format(time.RFC3339))}
	}
	return k, nil
}
