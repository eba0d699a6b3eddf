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

// Role says what the holder of a key may do.
type Role uint8

// Roles. An admin changes the whole configuration, an owner the entries of its team; all may submit for their team.
const (
	RoleAdmin Role = iota + 1
	RoleOwner
	RoleSubmitter
)

var roleNames = []string{"admin", "owner", "submitter"}

// String returns the name used in messages, and "none" for the zero value.
func (r Role) String() string {
	if r < RoleAdmin || r > RoleSubmitter {
		return "none"
	}
	return roleNames[r-1]
}

// ParseRole returns the role of a name, or an error that lists the names.
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

// Key is a caller's credential. It holds a hash of the secret only.
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

// NewKey returns a key and its secret text, "<id>.<base32 secret>", which isn't stored anywhere. The team may be empty
// for an admin. A zero expires means never. Random bytes are read from random; its errors are returned.
func NewKey(team string, role Role, grantedBy string, granted, expires time.Time, random io.Reader) (Key, string, error) {
	if err := checkKey(team, role, granted, expires); err != nil {
		return Key{}, "", err
	}

	var b [keyIDBytes + keySecretBytes]byte
	if _, err := io.ReadFull(random, b[:]); err != nil {
		return Key{}, "", errors.Wrap(err, "read randomness for a key")
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

// ID returns the public part of the key.
func (k Key) ID() string { return k.id }

// Team returns the team that the key is for. It may be empty for an admin.
func (k Key) Team() string { return k.team }

// Role returns what the holder may do.
func (k Key) Role() Role { return k.role }

// SecretHash returns the SHA-256 of the secret.
func (k Key) SecretHash() [sha256.Size]byte { return k.hash }

// Granted returns when the key was granted.
func (k Key) Granted() time.Time { return k.granted }

// GrantedBy returns who granted the key.
func (k Key) GrantedBy() string { return k.grantedBy }

// Expires returns when the key stops to work, the zero time for never.
func (k Key) Expires() time.Time { return k.expires }

// Revoked reports whether the key was revoked.
func (k Key) Revoked() bool { return k.revoked }

// Expired reports whether the key has stopped to work at now.
func (k Key) Expired(now time.Time) bool { return !k.expires.IsZero() && !now.Before(k.expires) }

// Verify reports whether secret is the secret text of the key. The time it takes doesn't depend on the stored hash.
func (k Key) Verify(secret string) bool {
	id, text, _ := strings.Cut(secret, ".")
	raw, err := keyEncoding.DecodeString(text)
	if err != nil || len(raw) != keySecretBytes || id != k.id {
		return false
	}
	sum := sha256.Sum256(raw)
	return subtle.ConstantTimeCompare(sum[:], k.hash[:]) == 1
}

// String returns a text without secrets.
func (k Key) String() string {
	return fmt.Sprintf("key %s (team %s, %s)", k.id, k.team, k.role)
}

// GoString returns the same text as String, so that %#v shows no hash either.
func (k Key) GoString() string { return k.String() }

func (k Key) withRevoked() Key { k.revoked = true; return k }

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
	w := keyRow{
		Team: k.team, Role: k.role.String(), Hash: hex.EncodeToString(k.hash[:]), Granted: k.granted,
		GrantedBy: k.grantedBy, Revoked: k.revoked,
	}
	if !k.expires.IsZero() {
		w.Expires = &k.expires
	}
	return encodeJSON(w)
}

func decodeKey(id string, data []byte) (Key, error) {
	var w keyRow
	if err := json.Unmarshal(data, &w); err != nil {
		return Key{}, errors.New("key: not a JSON object of the expected form")
	}
	role, err := ParseRole(w.Role)
	if err != nil {
		return Key{}, err
	}
	hash, err := hex.DecodeString(w.Hash)
	if err != nil || len(hash) != sha256.Size {
		return Key{}, errors.New("key: secret-hash: not a SHA-256 in hexadecimal digits")
	}

	k := Key{
		id: id, team: w.Team, role: role, granted: w.Granted, grantedBy: w.GrantedBy, revoked: w.Revoked,
		hash: [sha256.Size]byte(hash),
	}
	if w.Expires != nil {
		k.expires = *w.Expires
	}
	return k, nil
}
