package entry

import (
	"context"

	"github.com/pistachiolead/pistachiolead/provider"
)

const reasonNotListed = "the backend server isn't in the VM list"

// disconnected stands for a backend server that the VM list doesn't have.
type disconnected struct{}

var _ provider.BackendServer = disconnected{}

// Acquire implements provider.BackendServer.
func (disconnected) Acquire(context.Context, string, string) provider.AcquireOutcome {
	return provider.NewUnavailable(reasonNotListed)
}

// Release implements provider.BackendServer.
func (disconnected) Release(context.Context, uint64) provider.ReleaseOutcome {
	return provider.NewUnavailable(reasonNotListed)
}

// Report implements provider.BackendServer.
func (disconnected) Report(context.Context, uint64) provider.ReportOutcome {
	return provider.NewUnavailable(reasonNotListed)
}

// Run implements provider.BackendServer.
func (disconnected) Run(context.Context, uint64, provider.Task) provider.RunOutcome {
	return provider.NewUnavailable(reasonNotListed)
}

// Close implements provider.BackendServer.
func (disconnected) Close(context.Context, uint64, string, int) provider.CloseOutcome {
	return provider.NewUnavailable(reasonNotListed)
}

// Signal implements provider.BackendServer.
func (disconnected) Signal(context.Context, uint64, string, int, provider.Signal) provider.SignalOutcome {
	return provider.NewUnavailable(reasonNotListed)
}
