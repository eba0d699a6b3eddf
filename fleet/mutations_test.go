package fleet_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// mutationRounds bounds the rounds of property checks that are run until a mutation is detected.
const mutationRounds = 18

// Guards against a model that doesn't detect the violation of a rule that the control state relies on.
func TestModelDetectsMutations(t *testing.T) {
	for name, mutated := range map[string]mutation{
		"servers ignore tokens": serversIgnoreTokens, "the store ignores terms": storeIgnoresTerms,
		"earlier leases are ignored": ignoreLeases, "partitioned servers are listed as down": listPartitionedAsDown,
		"the longest lease is ignored": ignoreLongestLease, "lists of VMs seem newer than they are": listsCountAsNewer,
		"no task may run twice": forbidDuplicates, "removed VMs are listed as down": listRemovedAsDown,
		"VMs of partitioned servers aren't listed": unlistPartitioned,
	} {
		detected := false
		for range mutationRounds {
			rapid.Check(t, func(t *rapid.T) {
				if detected {
					return
				}
				m := newModel(t)
				m.mutation, m.copies = mutated, mutated == forbidDuplicates
				m.expectReturns(mutated == ignoreLongestLease)
				if mutated == ignoreLongestLease {
					m.lateRequests = 0 // tasks wait for longer than a lease after a start without a response
				}
				if mutated == listsCountAsNewer {
					m.lateLists = 50
				}
				if mutated == listRemovedAsDown || mutated == unlistPartitioned {
					m.playLosses(false)
				} else {
					m.playFaults()
					m.recoverAndCheck(40 * time.Second)
				}
				detected = m.violation != ""
			})
		}
		if !detected {
			t.Errorf("mutation not detected: %s", name)
		}
	}
}
