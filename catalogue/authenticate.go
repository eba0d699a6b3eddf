package catalogue

import "time"

// Authenticate allows the holder of any key that is neither revoked nor expired, whatever its role. It returns Allowed
// or Denied.
func Authenticate(c *Configuration, secret string, now time.Time) Authorization {
	k, denied := findKey(c, secret, now)
	if denied != nil {
		return *denied
	}
	t, _ := c.catalogue.Team(k.team)
	return Allowed{key: k, team: t}
}
