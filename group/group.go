// Package group starts goroutines and waits for them. All goroutines of the product are started through a Group.
package group

import (
	"context"

	"golang.org/x/sync/errgroup"
)

// Group is a set of goroutines that stop together: the first error cancels the context that the others observe.
type Group struct {
	tasks *errgroup.Group
}

// New returns an empty Group and a context that ends when a goroutine of the group fails or Wait returns.
func New(ctx context.Context) (*Group, context.Context) {
	tasks, ctx := errgroup.WithContext(ctx)
	return &Group{tasks: tasks}, ctx
}

// SetLimit bounds the goroutines of the group that run at a time. Go waits while there are as many.
func (g *Group) SetLimit(n int) { g.tasks.SetLimit(n) }

// Go starts fn in a goroutine of the group.
func (g *Group) Go(fn func() error) { g.tasks.Go(fn) }

// Wait waits until all goroutines of the group have returned and returns the first error.
func (g *Group) Wait() error { return g.tasks.Wait() }
