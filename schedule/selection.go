package schedule

import "container/heap"

// selection is a set of selected jobs from which jobs are dropped while the capacity doesn't suffice.
//
// If the largest job of all were dropped, a customer that sends many times its usual would take the capacity from the others: at
// nine times its usual, of 90 jobs of three others 3 were in time. The jobs of the customer with the most selected work for its
// weight are dropped instead. The zero value is an empty selection.
type selection struct {
	customers []*customerSelection
	byName    map[string]*customerSelection
}

// customerSelection is the selected jobs of one customer.
type customerSelection struct {
	weight    float64
	work      float64     // of all selected jobs
	droppable maxWorkHeap // those that haven't started
}

func (s *selection) add(c *Candidate) {
	name := c.Customer
	if c.Weight <= 0 {
		name = ""
	}
	customer, known := s.byName[name]
	if !known {
		if s.byName == nil {
			s.byName = make(map[string]*customerSelection)
		}
		customer = &customerSelection{weight: c.Weight}
		if c.Weight <= 0 {
			customer.weight = 1
		}
		s.byName[name] = customer
		s.customers = append(s.customers, customer)
	}
	customer.work += c.Work
	if !c.Started {
		heap.Push(&customer.droppable, c)
	}
}

// drop removes the job with the most work of the customer that then still has the most work for its weight, and returns it, or nil
// if all jobs have started.
func (s *selection) drop() *Candidate {
	var most *customerSelection
	for _, customer := range s.customers {
		if len(customer.droppable) > 0 && (most == nil || customer.exceeds(most)) {
			most = customer
		}
	}
	if most == nil {
		return nil
	}
	dropped := heap.Pop(&most.droppable).(*Candidate)
	most.work -= dropped.Work
	return dropped
}

// exceeds reports whether the customer has more work for its weight than another one, each without the job that would be dropped.
// A customer with a single job is therefore the last to lose it.
func (c *customerSelection) exceeds(other *customerSelection) bool {
	a, b := (c.work-c.droppable[0].Work)/c.weight, (other.work-other.droppable[0].Work)/other.weight
	if a != b {
		return a > b
	}
	return c.droppable[0].Work > other.droppable[0].Work
}

// maxWorkHeap is a heap of candidates with the most work on top.
type maxWorkHeap []*Candidate

func (h maxWorkHeap) Len() int           { return len(h) }
func (h maxWorkHeap) Less(a, b int) bool { return h[a].Work > h[b].Work }
func (h maxWorkHeap) Swap(a, b int)      { h[a], h[b] = h[b], h[a] }

// Push implements heap.Interface.
func (h *maxWorkHeap) Push(x any) { *h = append(*h, x.(*Candidate)) }

// Pop implements heap.Interface.
func (h *maxWorkHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
