package catalogue

import "time"

// Authenticate decides whether secret is that of a key in force, whatever its role.
func Authenticate(c *Configuration, secret string, now time.Time) Authorization {
	k, denied := authenticate(c, secret, now)
	if denied != nil {
		return *denied
	}
	t, _ := c.catalogue.Team(k.team)
	return Allowed{key: k, team: t}
}
