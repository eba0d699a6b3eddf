package workload

import "time"

// StepOptions are the fields of a step as they are stored. The methods of Step describe them. The zero value of a field
// means that the step doesn't use it.
type StepOptions struct {
	Count              int    `json:"count"`
	MilliCores         int64  `json:"milli-cores,omitempty"`
	MemoryMB           int64  `json:"memory-mb,omitempty"`
	Accelerators       int64  `json:"accelerators,omitempty"`
	DeclaredDurationMS int64  `json:"estimate-ms,omitempty"`
	After              []int  `json:"after,omitempty"`
	Gang               bool   `json:"gang,omitempty"`
	SameRack           bool   `json:"same-rack,omitempty"`
	Label              string `json:"label,omitempty"`
	DataRack           string `json:"data-rack,omitempty"`
	MaxPerServer       int    `json:"per-server,omitempty"`
	Duplicable         bool   `json:"duplicable,omitempty"`
	LongRunning        bool   `json:"long-running,omitempty"`
	Checkpoints        bool   `json:"checkpoints,omitempty"`
	Image              string `json:"image,omitempty"`
	LatencyTargetMS    int64  `json:"latency-target-ms,omitempty"`
	BestEffort         bool   `json:"filler,omitempty"`
	MaxUnavailable     int    `json:"may-miss,omitempty"`
}

// Step is a set of identical tasks of a job.
type Step struct{ options StepOptions }

// NewStep returns a step.
func NewStep(o StepOptions) Step { return Step{options: o} }

// Count returns the number of tasks.
func (s Step) Count() int { return s.options.Count }

// Requests returns the resources that each task requests.
func (s Step) Requests() Resources {
	return NewResources(s.options.MilliCores, s.options.MemoryMB, s.options.Accelerators)
}

// Reserves returns the resources that are reserved for each task on a backend server. Best-effort tasks reserve no CPU,
// because they run on CPU that the other tasks leave unused.
func (s Step) Reserves() Resources {
	r := s.Requests()
	if s.options.BestEffort {
		r.milliCores = 0
	}
	return r
}

// DeclaredDuration returns the declared duration of a task.
func (s Step) DeclaredDuration() time.Duration {
	return time.Duration(s.options.DeclaredDurationMS) * time.Millisecond
}

// After returns the numbers of the steps that have to be done before this one starts.
func (s Step) After() []int { return s.options.After }

// Gang reports whether all tasks have to run at the same time (gang scheduling).
func (s Step) Gang() bool { return s.options.Gang }

// SameRack reports whether the tasks should run on one rack, because they are slower if they are spread over several.
func (s Step) SameRack() bool { return s.options.SameRack }

// Label returns the label that a backend server needs to run the tasks, or "".
func (s Step) Label() string { return s.options.Label }

// DataRack returns the rack that holds the tasks' data, on which they are faster, or "".
func (s Step) DataRack() string { return s.options.DataRack }

// MaxPerServer returns how many tasks of the step may run on one backend server. 0 means any number.
func (s Step) MaxPerServer() int { return s.options.MaxPerServer }

// Constrained reports whether the step may run only on servers with a label, or only on some servers at a time.
func (s Step) Constrained() bool { return s.options.Label != "" || s.options.MaxPerServer > 0 }

// Duplicable reports whether several runs of a task may exist at the same time.
func (s Step) Duplicable() bool { return s.options.Duplicable }

// LongRunning reports whether the tasks run until the job is cancelled.
func (s Step) LongRunning() bool { return s.options.LongRunning }

// Checkpoints reports whether the tasks save checkpoints, from which a later run continues.
func (s Step) Checkpoints() bool { return s.options.Checkpoints }

// Image returns the name of the program image that the tasks run.
func (s Step) Image() string { return s.options.Image }

// LatencyTarget returns the largest tail latency that the users of a latency-sensitive task should see. It is 0 for
// other tasks.
func (s Step) LatencyTarget() time.Duration {
	return time.Duration(s.options.LatencyTargetMS) * time.Millisecond
}

// BestEffort reports whether the tasks are best-effort: they run only on CPU that other tasks leave unused.
func (s Step) BestEffort() bool { return s.options.BestEffort }

// MaxUnavailable returns the disruption budget: how many tasks of the step this system may make unavailable at the same
// time.
func (s Step) MaxUnavailable() int { return s.options.MaxUnavailable }
