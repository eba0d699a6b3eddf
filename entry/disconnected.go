package entry

import (
	"context"

	"github.com/pistachiolead/pistachiolead/platform"
)

const reasonNotListed = "the backend server isn't in the VM list"

// disconnected stands for a backend server that the VM list doesn't have.
type disconnected struct{}

var _ platform.BackendServer = disconnected{}

// Acquire implements platform.BackendServer.
func (disconnected) Acquire(context.Context, string, string) platform.AcquireOutcome {
	return platform.NewUnavailable(reasonNotListed)
}

// Release implements platform.BackendServer.
func (disconnected) Release(context.Context, uint64) platform.ReleaseOutcome {
	return platform.NewUnavailable(reasonNotListed)
}

// Report implements platform.BackendServer.
func (disconnected) Report(context.Context, uint64) platform.ReportOutcome {
	return platform.NewUnavailable(reasonNotListed)
}

// Run implements platform.BackendServer.
func (disconnected) Run(context.Context, uint64, platform.Task) platform.RunOutcome {
	return platform.NewUnavailable(reasonNotListed)
}

// Close implements platform.BackendServer.
func (disconnected) Close(context.Context, uint64, string, int) platform.CloseOutcome {
	return platform.NewUnavailable(reasonNotListed)
}

// Signal implements platform.BackendServer.
func (disconnected) Signal(context.Context, uint64, string, int, platform.Signal) platform.SignalOutcome {
	return platform.NewUnavailable(reasonNotListed)
}
