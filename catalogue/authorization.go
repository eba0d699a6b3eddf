package catalogue

import (
	"fmt"
	"strings"
	"time"
)

// Authorization is the result of an authorization check: Allowed or Denied.
type Authorization interface{ authorization() }

// Allowed is the result for a key that has the permission.
type Allowed struct {
	key   Key
	team  Team
	entry Entry
}

// Key returns the caller's key.
func (a Allowed) Key() Key { return a.key }

// Team returns the key's team, which the work is charged to. It is the zero Team if the catalogue doesn't contain the
// team, or for an admin without a team.
func (a Allowed) Team() Team { return a.team }

// Entry returns the requested entry, the zero Entry if the check wasn't for an entry.
func (a Allowed) Entry() Entry { return a.entry }

// DenialCode identifies the reason of a denial, in the form that API responses use.
type DenialCode string

// Denial codes.
const (
	CodeUnknownKey     DenialCode = "unknown-key"
	CodeRevokedKey     DenialCode = "revoked-key"
	CodeExpiredKey     DenialCode = "expired-key"
	CodeUnknownEntry   DenialCode = "unknown-entry"
	CodeTeamNotAllowed DenialCode = "team-not-allowed"
	CodeRoleNotAllowed DenialCode = "role-not-allowed"
)

// Denied is the result for a caller without the permission. It never contains the secret.
type Denied struct {
	code    DenialCode
	message string
}

// Code returns the denial code.
func (d Denied) Code() DenialCode { return d.code }

// Message returns a sentence for the caller that explains the denial.
func (d Denied) Message() string { return d.message }

func (Allowed) authorization() {}
func (Denied) authorization()  {}

// Authorize checks whether the holder of secret may submit work to the entry. The key's team must be in the catalogue,
// because its limit and share apply. An open entry accepts work of all teams in the catalogue.
func Authorize(c *Configuration, secret, entry string, now time.Time) Authorization {
	k, denied := findKey(c, secret, now)
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

// AuthorizeAdmin checks whether the holder of secret may change the whole configuration.
func AuthorizeAdmin(c *Configuration, secret string, now time.Time) Authorization {
	k, denied := findKey(c, secret, now)
	if denied != nil {
		return *denied
	}
	if k.role != RoleAdmin {
		return Denied{CodeRoleNotAllowed, fmt.Sprintf("Key %s has role %s; this needs role admin.", k.id, k.role)}
	}
	t, _ := c.catalogue.Team(k.team)
	return Allowed{key: k, team: t}
}

// AuthorizeOwner checks whether the holder of secret may change the entry. This takes role admin, or role owner in the
// team that owns the entry at present.
func AuthorizeOwner(c *Configuration, secret, entry string, now time.Time) Authorization {
	k, denied := findKey(c, secret, now)
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

// AuthorizeCatalogue checks whether the holder of secret may replace the catalogue with next. This takes role admin, or
// role owner if all changes are to entries that the key's team owns in both catalogues. An entry may be missing from
// one of them.
func AuthorizeCatalogue(c *Configuration, secret string, next *Catalogue, now time.Time) Authorization {
	k, denied := findKey(c, secret, now)
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
	for _, change := range Diff(c.catalogue, next) {
		if change.kind != "entry" || !ownedBy(c.catalogue, change.name, k.team) || !ownedBy(next, change.name, k.team) {
			return Denied{CodeTeamNotAllowed, fmt.Sprintf("Team %s may not change %s %s.", k.team, change.kind, change.name)}
		}
	}
	return Allowed{key: k, team: t}
}

// ownedBy reports whether the team owns the entry, or the entry doesn't exist.
func ownedBy(c *Catalogue, entry, team string) bool {
	e, ok := c.Entry(entry)
	return !ok || e.owner == team
}

// findKey returns the key that the secret belongs to, or the reason why it is denied. A denial doesn't quote the
// secret, because callers may send other confidential text by mistake.
func findKey(c *Configuration, secret string, now time.Time) (Key, *Denied) {
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
