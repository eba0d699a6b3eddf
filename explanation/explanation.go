// Package explanation has what the explanations of dispatch and fleet share: servers grouped by what excludes them, and
// how sure an expected start is.
package explanation

import (
	"cmp"
	"slices"
)

// Confidence says how sure an expected start is.
type Confidence string

// Confidences. With ConfidenceNone, no start is expected.
const (
	ConfidenceNone   Confidence = "none"
	ConfidenceLow    Confidence = "low"
	ConfidenceMedium Confidence = "medium"
	ConfidenceHigh   Confidence = "high"
)

// Group is the servers that the same reason excludes.
type Group struct {
	reason  string
	servers []string
}

// Reason returns why the servers don't start the task, empty if they may.
func (g Group) Reason() string { return g.reason }

// MayStart reports whether the servers may start the task.
func (g Group) MayStart() bool { return g.reason == "" }

// Servers returns the ids, in the order in which they were added.
func (g Group) Servers() []string { return g.servers }

// Examples returns the first ids, n at most.
func (g Group) Examples(n int) []string { return g.servers[:min(len(g.servers), n)] }

// Groups returns the servers of each reason, the largest group first after those that may start the task.
func Groups(byReason map[string][]string) []Group {
	groups := make([]Group, 0, len(byReason))
	for reason, servers := range byReason {
		groups = append(groups, Group{reason: reason, servers: servers})
	}
	slices.SortFunc(groups, func(a, b Group) int {
		switch {
		case a.MayStart():
			return -1
		case b.MayStart():
			return 1
		}
		return cmp.Or(len(b.servers)-len(a.servers), cmp.Compare(a.reason, b.reason))
	})
	return groups
}
