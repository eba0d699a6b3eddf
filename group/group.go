// Package group runs goroutines in groups that are cancelled and awaited together. All goroutines of the
// program are started through a Group.
package group

import (
	"context"

	"golang.org/x/sync/errgroup"
)

// Group is a set of goroutines that stop together: the first error cancels the context that the others observe.
type Group struct {
	goroutines *errgroup.Group
}

// New returns an empty Group and a context that ends when a goroutine of the group fails or Wait returns.
func New(ctx context.Context) (*Group, context.Context) {
	goroutines, ctx := errgroup.WithContext(ctx)
	return &Group{goroutines: goroutines}, ctx
}

// SetLimit limits the number of goroutines of the group that run at a time to n. Go blocks while n are running. It must
// be called while none are running.
func (g *Group) SetLimit(n int) { g.goroutines.SetLimit(n) }

// Go starts fn in a goroutine of the group.
func (g *Group) Go(fn func() error) { g.goroutines.Go(fn) }

// Wait waits until all goroutines of the group have returned and returns the first error.
func (g *Group) Wait() error { return g.goroutines.Wait() }
