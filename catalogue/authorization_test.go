package catalogue_test

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/pistachiolead/pistachiolead/catalogue"
)

// Guards against accepting work with a key that is revoked, expired, altered or of a team that the entry doesn't admit
// (R3), and against denying a valid key.
func TestAuthorizeAllowsOnlyValidKeysOfAdmittedTeams(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		tbl, c := newTable(), catalogue.NewConfiguration()
		tx, err := catalogue.ChangeCatalogue(c, drawCatalogue(rt), "ana", start)
		c = tbl.mustApply(t, c, tx, err)
		team := rapid.SampledFrom(teamNames).Draw(rt, "team")
		role := catalogue.Role(rapid.IntRange(1, 3).Draw(rt, "role"))
		expires := start.Add(time.Hour)
		k, secret := newKey(t, team, role, 1, expires)
		tx, err = catalogue.GrantKey(c, k)
		c = tbl.mustApply(t, c, tx, err)

		granted := secret
		now, intact := expires.Add(-1), false
		fault := rapid.SampledFrom([]string{"", "", "", "revoked", "revoked early", "altered", "expired"}).Draw(rt, "fault")
		switch fault {
		case "revoked":
			tx, err = catalogue.RevokeKey(c, k.ID(), "ana", start)
			c = tbl.mustApply(t, c, tx, err)
		case "revoked early":
			c = c.WithKeyRevoked(k.ID())
		case "altered":
			i := rapid.IntRange(0, len(secret)-2).Draw(rt, "position")
			secret = secret[:i] + string(rapid.SampledFrom([]byte("0.A")).Draw(rt, "byte")) + secret[i+1:]
			intact = secret == granted
		case "expired":
			now = expires
		}

		name := fmt.Sprintf("entry-%d", rapid.IntRange(0, max(len(c.Catalogue().Entries())-1, 0)).Draw(rt, "entry"))
		e, exists := c.Catalogue().Entry(name)
		admitted := exists && (e.Open() || e.Owner() == team || slices.Contains(e.Teams(), team))
		want := (fault == "" || intact) && admitted
		switch a := catalogue.Authorize(c, secret, name, now).(type) {
		case catalogue.Allowed:
			assert.Assert(rt, want)
			assert.Equal(rt, a.Team().Name(), team)
			assert.Equal(rt, a.Entry().Name(), name)
		case catalogue.Denied:
			assert.Assert(rt, !want, a.Message())
			assert.Assert(rt, !strings.Contains(a.Message(), secret))
		}
	})
}

// Guards against denials with the wrong code, and against roles that have too many permissions.
func TestDenialCodes(t *testing.T) {
	tbl, c := newTable(), catalogue.NewConfiguration()
	full, err := catalogue.Parse([]byte(document), "c.yaml")
	assert.NilError(t, err)
	tx, err := catalogue.ChangeCatalogue(c, full, "ana", start)
	c = tbl.mustApply(t, c, tx, err)
	secrets := make(map[string]string)
	for i, n := range []string{"studio-owner", "adria-owner", "studio-submitter", "-admin", "studio-revoked", "studio-expired"} {
		team, kind, _ := strings.Cut(n, "-")
		role, err := catalogue.ParseRole(kind)
		if err != nil {
			role = catalogue.RoleAdmin
		}
		expires := time.Time{}
		if kind == "expired" {
			expires = start.Add(time.Second)
		}
		k, secret := newKey(t, team, role, int64(i), expires)
		tx, err := catalogue.GrantKey(c, k)
		c = tbl.mustApply(t, c, tx, err)
		secrets[n] = secret
		if kind == "revoked" {
			c = c.WithKeyRevoked(k.ID())
		}
	}
	entryChanged, err := catalogue.Parse([]byte(strings.Replace(document, "urgent", "archive", 1)), "c.yaml")
	assert.NilError(t, err)
	limitChanged, err := catalogue.Parse([]byte(strings.Replace(document, "limit: 50", "limit: 51", 1)), "c.yaml")
	assert.NilError(t, err)

	const allowed = catalogue.DenialCode("")
	for _, r := range []struct {
		secret                       string
		submit, admin, owner         catalogue.DenialCode
		changeEntry, changeTeamLimit catalogue.DenialCode
	}{
		{"-admin", catalogue.CodeTeamNotAllowed, allowed, allowed, allowed, allowed},
		{"studio-owner", allowed, catalogue.CodeRoleNotAllowed, allowed, allowed, catalogue.CodeTeamNotAllowed},
		{
			"adria-owner", allowed, catalogue.CodeRoleNotAllowed, catalogue.CodeTeamNotAllowed,
			catalogue.CodeTeamNotAllowed, catalogue.CodeTeamNotAllowed,
		},
		{
			"studio-submitter", allowed, catalogue.CodeRoleNotAllowed, catalogue.CodeRoleNotAllowed,
			catalogue.CodeRoleNotAllowed, catalogue.CodeRoleNotAllowed,
		},
		{
			"studio-revoked", catalogue.CodeRevokedKey, catalogue.CodeRevokedKey, catalogue.CodeRevokedKey,
			catalogue.CodeRevokedKey, catalogue.CodeRevokedKey,
		},
		{
			"studio-expired", catalogue.CodeExpiredKey, catalogue.CodeExpiredKey, catalogue.CodeExpiredKey,
			catalogue.CodeExpiredKey, catalogue.CodeExpiredKey,
		},
		{
			"none", catalogue.CodeUnknownKey, catalogue.CodeUnknownKey, catalogue.CodeUnknownKey,
			catalogue.CodeUnknownKey, catalogue.CodeUnknownKey,
		},
	} {
		s, now := secrets[r.secret], start.Add(time.Minute)
		assert.Equal(t, denialCode(catalogue.Authorize(c, s, "quick-proof", now)), r.submit, r.secret)
		assert.Equal(t, denialCode(catalogue.AuthorizeAdmin(c, s, now)), r.admin, r.secret)
		assert.Equal(t, denialCode(catalogue.AuthorizeOwner(c, s, "quick-proof", now)), r.owner, r.secret)
		assert.Equal(t, denialCode(catalogue.AuthorizeCatalogue(c, s, entryChanged, now)), r.changeEntry, r.secret)
		assert.Equal(t, denialCode(catalogue.AuthorizeCatalogue(c, s, limitChanged, now)), r.changeTeamLimit, r.secret)
	}
	assert.Equal(t, denialCode(catalogue.Authorize(c, secrets["studio-owner"], "none", start)), catalogue.CodeUnknownEntry)

	swap := strings.NewReplacer("owner: studio", "owner: adria", "[adria]", "[studio]")
	ownersSwapped, err := catalogue.Parse([]byte(swap.Replace(document)), "c.yaml")
	assert.NilError(t, err)
	for _, n := range []string{"studio-owner", "adria-owner"} {
		assert.Equal(t, denialCode(catalogue.AuthorizeCatalogue(c, secrets[n], ownersSwapped, start)), catalogue.CodeTeamNotAllowed, n)
	}
}

func denialCode(a catalogue.Authorization) catalogue.DenialCode {
	if d, ok := a.(catalogue.Denied); ok {
		return d.Code()
	}
	return ""
}

// Guards against secrets in logs, errors and rows, and against keys made of too few random bytes.
func TestKeyDoesNotExposeSecret(t *testing.T) {
	k, secret := newKey(t, "studio", catalogue.RoleOwner, 1, time.Time{})
	_, hidden, _ := strings.Cut(secret, ".")
	assert.Equal(t, len(hidden), 52)
	assert.Assert(t, k.Verify(secret))

	c := catalogue.NewConfiguration()
	full, err := catalogue.Parse([]byte(document), "c.yaml")
	assert.NilError(t, err)
	tbl := newTable()
	tx, err := catalogue.ChangeCatalogue(c, full, "ana", start)
	c = tbl.mustApply(t, c, tx, err)
	tx, err = catalogue.GrantKey(c, k)
	tbl.mustApply(t, c, tx, err)
	for _, r := range tbl.history {
		assert.Assert(t, !bytes.Contains(r.Value(), []byte(hidden)))
	}
	hash := fmt.Sprintf("%x", k.SecretHash())
	for _, text := range []string{fmt.Sprintf("%v %+v %#v %s", k, k, k, k), fmt.Sprint(catalogue.Authorize(c, secret+"x", "e", start))} {
		assert.Assert(t, !strings.Contains(text, hidden) && !strings.Contains(text, hash))
	}

	_, _, err = catalogue.NewKey("studio", catalogue.RoleOwner, "ana", start, time.Time{}, bytes.NewReader(make([]byte, 41)))
	assert.ErrorContains(t, err, "read random bytes")
}
