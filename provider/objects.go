package provider

import "context"

// ObjectStore stores objects by name. Puts are atomic: a reader sees a complete object or none.
type ObjectStore interface {
	// Put stores an object, replacing one of the same name.
	Put(ctx context.Context, name string, data []byte) PutOutcome
	// Get returns an object.
	Get(ctx context.Context, name string) GetOutcome
}

// PutOutcome is the outcome of ObjectStore.Put: Stored, Unavailable or OutcomeUnknown.
type PutOutcome interface{ putOutcome() }

// GetOutcome is the outcome of ObjectStore.Get: Object, ObjectNotFound or Unavailable.
type GetOutcome interface{ getOutcome() }

// Stored means that the object was stored.
type Stored struct{}

// ObjectNotFound means that there is no object of that name.
type ObjectNotFound struct{}

// Object is a stored object.
type Object struct{ data []byte }

// NewObject returns an Object outcome.
func NewObject(data []byte) Object { return Object{data: data} }

// Data returns the object's content. Callers must not modify it.
func (o Object) Data() []byte { return o.data }

func (Stored) putOutcome()         {}
func (Unavailable) putOutcome()    {}
func (OutcomeUnknown) putOutcome() {}
func (Object) getOutcome()         {}
func (ObjectNotFound) getOutcome() {}
func (Unavailable) getOutcome()    {}
