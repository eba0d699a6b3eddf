package catalogue

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base32"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Role is the set of permissions of a key.
type Role uint8

// Roles. An admin may change the whole configuration, an owner the entries of its team. All roles may submit work for
// their team.
const (
	RoleAdmin Role = iota + 1
	RoleOwner
	RoleSubmitter
)

var roleNames = []string{"admin", "owner", "submitter"}

// String returns the name used in rows and messages, and "none" for values that aren't roles.
func (r Role) String() string {
	if r < RoleAdmin || r > RoleSubmitter {
		return "none"
	}
	return roleNames[r-1]
}

// ParseRole returns the role with this name. The error lists the allowed names.
func ParseRole(s string) (Role, error) {
	for i, n := range roleNames {
		if n == s {
			return Role(i + 1), nil
		}
	}
	return 0, errors.Errorf("role: found %q, allowed: %s", s, strings.Join(roleNames, ", "))
}

// keyEncoding is base32 in lower case without padding.
var keyEncoding = base32.NewEncoding("abcdefghijklmnopqrstuvwxyz234567").WithPadding(base32.NoPadding)

// Key is an API key of a caller. It holds only a hash of the secret.
type Key struct {
	id        string
	team      string
	role      Role
	hash      [sha256.Size]byte
	granted   time.Time
	expires   time.Time
	revoked   bool
	grantedBy string
}

// NewKey returns a new key and its secret text, "<id>.<base32 secret>", which isn't stored anywhere. The team may be
// empty for an admin. A zero expires means that the key doesn't expire. Random bytes are read from random. NewKey
// returns an error if the team name, the role or the expiry is invalid, or if reading random bytes fails.
func NewKey(
	team string, role Role, grantedBy string, granted, expires time.Time, random io.Reader,
) (Key, string, error) {
	if err := checkKey(team, role, granted, expires); err != nil {
		return Key{}, "", err
	}

	var b [keyIDBytes + keySecretBytes]byte
	if _, err := io.ReadFull(random, b[:]); err != nil {
		return Key{}, "", errors.Wrap(err, "create key: read random bytes")
	}

	k := Key{
		id: keyEncoding.EncodeToString(b[:keyIDBytes]), team: team, role: role, grantedBy: grantedBy,
		granted: granted.UTC().Round(0), expires: expires.UTC().Round(0), hash: sha256.Sum256(b[keyIDBytes:]),
	}
	return k, k.id + "." + keyEncoding.EncodeToString(b[keyIDBytes:]), nil
}

func checkKey(team string, role Role, granted, expires time.Time) error {
	if role < RoleAdmin || role > RoleSubmitter {
		return errors.Errorf("key: role: found %d, allowed: %s", role, strings.Join(roleNames, ", "))
	}
	if team == "" && role == RoleAdmin {
		return checkExpiry(granted, expires)
	}
	if err := checkName("key: team", team); err != nil {
		return err
	}
	return checkExpiry(granted, expires)
}

func checkExpiry(granted, expires time.Time) error {
	if !expires.IsZero() && !expires.After(granted) {
		return errors.Errorf("key: expires: found %s, allowed: a time after %s", expires, granted)
	}
	return nil
}

// ID returns the id of the key, which isn't secret.
func (k Key) ID() string { return k.id }

// Team returns the team that the key is for. It may be empty for an admin.
func (k Key) Team() string { return k.team }

// Role returns the role, which determines what the holder may do.
func (k Key) Role() Role { return k.role }

// SecretHash returns the SHA-256 hash of the decoded secret.
func (k Key) SecretHash() [sha256.Size]byte { return k.hash }

// Granted returns the time at which the key was granted, in UTC.
func (k Key) Granted() time.Time { return k.granted }

// GrantedBy returns the name of the operator who granted the key.
func (k Key) GrantedBy() string { return k.grantedBy }

// Expires returns the time from which the key is invalid, in UTC. It is zero if the key doesn't expire.
func (k Key) Expires() time.Time { return k.expires }

// Revoked reports whether the key was revoked.
func (k Key) Revoked() bool { return k.revoked }

// Expired reports whether the key has expired at now.
func (k Key) Expired(now time.Time) bool { return !k.expires.IsZero() && !now.Before(k.expires) }

// Verify reports whether secret is the secret text of the key. The hash comparison takes constant time.
func (k Key) Verify(secret string) bool {
	id, encoded, _ := strings.Cut(secret, ".")
	decoded, err := keyEncoding.DecodeString(encoded)
	if err != nil || len(decoded) != keySecretBytes || id != k.id {
		return false
	}
	sum := sha256.Sum256(decoded)
	return subtle.ConstantTimeCompare(sum[:], k.hash[:]) == 1
}

// String returns the id, team and role. It contains neither the secret nor its hash.
func (k Key) String() string {
	return fmt.Sprintf("key %s (team %s, %s)", k.id, k.team, k.role)
}

// GoString returns the same text as String, so that %#v doesn't print the hash either.
func (k Key) GoString() string { return k.String() }

func (k Key) withRevoked() Key { k.revoked = true; return k }

// keyRow is the JSON value of a key's table row.
type keyRow struct {
	Team      string     `json:"team,omitempty"`
	Role      string     `json:"role"`
	Hash      string     `json:"secret-hash"`
	Granted   time.Time  `json:"granted"`
	GrantedBy string     `json:"granted-by"`
	Expires   *time.Time `json:"expires,omitempty"`
	Revoked   bool       `json:"revoked,omitempty"`
}

func (k Key) encode() []byte {
	row := keyRow{
		Team: k.team, Role: k.role.String(), Hash: hex.EncodeToString(k.hash[:]), Granted: k.granted,
		GrantedBy: k.grantedBy, Revoked: k.revoked,
	}
	if !k.expires.IsZero() {
		row.Expires = &k.expires
	}
	return encodeJSON(row)
}

func decodeKey(id string, data []byte) (Key, error) {
	var row keyRow
	if err := json.Unmarshal(data, &row); err != nil {
		return Key{}, errors.New("decode key: not a JSON object with the fields of a key")
	}
	role, err := ParseRole(row.Role)
	if err != nil {
		return Key{}, err
	}
	hash, err := hex.DecodeString(row.Hash)
	if err != nil || len(hash) != sha256.Size {
		return Key{}, errors.New("decode key: secret-hash: not a SHA-256 hash in hexadecimal digits")
	}

	k := Key{
		id: id, team: row.Team, role: role, granted: row.Granted, grantedBy: row.GrantedBy, revoked: row.Revoked,
		hash: [sha256.Size]byte(hash),
	}
	if row.Expires != nil {
		k.expires = *row.Expires
	}
	return k, nil
}
