package entry

import (
	"context"

	"github.com/pistachiolead/pistachiolead/provider"
)

const reasonNotListed = "the backend server isn't in the VM list"

// unlistedServer replaces the client of a backend server that isn't in the VM list. Every request to it fails as
// unavailable, which means that it certainly wasn't delivered.
type unlistedServer struct{}

var _ provider.BackendServer = unlistedServer{}

// Acquire implements provider.BackendServer.
func (unlistedServer) Acquire(context.Context, string, string) provider.AcquireOutcome {
	return provider.NewUnavailable(reasonNotListed)
}

// Release implements provider.BackendServer.
func (unlistedServer) Release(context.Context, uint64) provider.ReleaseOutcome {
	return provider.NewUnavailable(reasonNotListed)
}

// Report implements provider.BackendServer.
func (unlistedServer) Report(context.Context, uint64) provider.ReportOutcome {
	return provider.NewUnavailable(reasonNotListed)
}

// Run implements provider.BackendServer.
func (unlistedServer) Run(context.Context, uint64, provider.Task) provider.RunOutcome {
	return provider.NewUnavailable(reasonNotListed)
}

// Close implements provider.BackendServer.
func (unlistedServer) Close(context.Context, uint64, string, int) provider.CloseOutcome {
	return provider.NewUnavailable(reasonNotListed)
}

// Signal implements provider.BackendServer.
func (unlistedServer) Signal(context.Context, uint64, string, int, provider.Signal) provider.SignalOutcome {
	return provider.NewUnavailable(reasonNotListed)
}
