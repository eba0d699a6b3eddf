package fleet_test

import (
	"testing"

	"pgregory.net/rapid"
)

// mutationRounds bounds the rounds of checks that are played until a mutation is noticed.
const mutationRounds = 6

// Guards against a model that doesn't notice when a rule that runs rely on is broken.
func TestModelNoticesMutations(t *testing.T) {
	for name, mutated := range map[string]mutation{
		"servers ignore tokens": serversIgnoreTokens, "the store ignores terms": storeIgnoresTerms,
		"earlier leases are ignored": ignoreLeases,
	} {
		noticed := false
		for range mutationRounds {
			rapid.Check(t, func(t *rapid.T) {
				if noticed {
					return
				}
				m := newModel(t)
				m.mutation = mutated
				m.play()
				m.calm()
				noticed = m.broken != ""
			})
		}
		if !noticed {
			t.Errorf("not noticed: %s", name)
		}
	}
}
