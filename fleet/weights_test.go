package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pistachiolead/pistachiolead/directory"
	"github.com/pistachiolead/pistachiolead/fleet"
	"github.com/pistachiolead/pistachiolead/workload"
)

const (
	weightedCustomers = 4
	hotCustomer       = 0
	usualRate         = 2 // jobs a second of each customer; all together use two thirds of the pool
	hotStart, hotEnd  = 5 * time.Second, 20 * time.Second
)

// runHotCustomer returns how many of the other customers' jobs that were submitted while one customer sent factor times its usual
// rate met their objective, and how many there were.
func runHotCustomer(factor float64, ignoreWeights bool) (inTime, jobs int) {
	sm := newSimulation(12, 1)
	sm.state.IgnoreWeights = ignoreWeights
	var customers []directory.Customer
	for n := range weightedCustomers {
		customers = append(customers, directory.Customer{Name: fmt.Sprint("customer-", n), Weight: usualRate * 1.5})
	}
	sm.state.Handle(fleet.OperationArrived{Operation: directory.ConfigurationPublished{Snapshot: directory.NewSnapshot(
		2, []directory.Queue{{Name: "pool-0", Pool: "pool-0", MaxAttempts: 3}}, customers,
		[]directory.Pool{{Name: "pool-0"}, {Name: sparePool, Spare: true}}, 0,
	)}}, sm.now)
	sm.advance(time.Second)
	const tick = 20 * time.Millisecond
	began, due, number := sm.now, make([]float64, weightedCustomers), 0
	objectives := make(map[string]time.Duration)
	for at := time.Duration(0); at < 25*time.Second; at = sm.now.Sub(began) {
		hot := at >= hotStart && at < hotEnd
		for n := range due {
			rate := float64(usualRate)
			if n == hotCustomer && hot {
				rate *= factor
			}
			for due[n] += rate * tick.Seconds(); due[n] >= 1; due[n]-- {
				number++
				objective := sm.submitFor(customers[n].Name, number)
				if n != hotCustomer && hot {
					objectives[fmt.Sprintf("%016x", number)] = objective
				}
			}
		}
		sm.advance(tick)
	}
	sm.advance(10 * time.Second)
	for id, objective := range objectives {
		if end := sm.endedAt[id]; !end.IsZero() && end.Sub(sm.submittedAt[id]) <= objective {
			inTime++
		}
	}
	return inTime, len(objectives)
}

// submitFor submits a job of a customer, and returns its objective.
func (sm *simulation) submitFor(customer string, n int) time.Duration {
	job, err := workload.NewJob(workload.JobOptions{
		ID: fmt.Sprintf("%016x", n), Queue: "pool-0", Pool: "pool-0", Customer: customer, MaxAttempts: 3, Stretch: 1.6, SlackMS: 600,
		AcceptedMS: sm.now.UnixMilli(), Steps: []workload.StepOptions{
			{Count: 8, MilliCores: 5700, MemoryMB: 20000, DeclaredDurationMS: 1000},
			{Count: 5, MilliCores: 5700, MemoryMB: 20000, DeclaredDurationMS: 1000, After: []int{0}},
		},
	})
	if err != nil {
		panic(err)
	}
	sm.submittedAt[job.ID()] = sm.now
	sm.state.Handle(fleet.JobArrived{Job: job}, sm.now)
	return job.Objective()
}

// Load pattern: one of four customers of a queue sends nine times its usual rate for 15 seconds. Guards against jobs beyond the
// weight of their customer that take the capacity of those within the weight of theirs.
func TestHotCustomerCostsOthersLittle(t *testing.T) {
	const plays = 4 // a play doesn't repeat exactly, and has few jobs
	var usual, baseline, current, jobs int
	for range plays {
		inTime, n := runHotCustomer(1, false)
		usual, jobs = usual+inTime, jobs+n
		inTime, _ = runHotCustomer(9, true)
		baseline += inTime
		inTime, _ = runHotCustomer(9, false)
		current += inTime
	}
	t.Logf("of %d jobs of the other customers in time: %d usually, %d beside a hot customer without weights, %d with weights",
		jobs, usual, baseline, current)
	assert.Assert(t, current*10 >= usual*9)
	assert.Assert(t, current > baseline)
}
