package standin

import (
	"container/list"
	"sync"
	"time"
)

// Checkpoints stores the progress of checkpointed tasks by request id, so that a later attempt on any backend server
// resumes from it. The last 100,000 checkpoints are kept. A task that completes deletes its own.
type Checkpoints struct {
	mu    sync.Mutex
	saved map[string]*list.Element
	// order holds the checkpoints in the order in which they were saved.
	order list.List
}

type checkpoint struct {
	id        string
	attempt   int
	remaining time.Duration
}

// Remaining returns the run time that a request had left at its last checkpoint, and false if it has none.
func (c *Checkpoints) Remaining(id string) (time.Duration, bool) {
	cp, ok := c.load(id)
	return cp.remaining, ok
}

func (c *Checkpoints) load(id string) (checkpoint, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, ok := c.saved[id]
	if !ok {
		return checkpoint{}, false
	}
	return e.Value.(checkpoint), true
}

// save stores cp unless a later attempt has already saved one.
func (c *Checkpoints) save(cp checkpoint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.saved == nil {
		c.saved = make(map[string]*list.Element)
	}

	if e, ok := c.saved[cp.id]; ok {
		if e.Value.(checkpoint).attempt > cp.attempt {
			return
		}
		c.order.Remove(e)
	}
	c.saved[cp.id] = c.order.PushBack(cp)
	if c.order.Len() > maxCheckpoints {
		oldest := c.order.Remove(c.order.Front()).(checkpoint)
		delete(c.saved, oldest.id)
	}
}

func (c *Checkpoints) remove(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e, ok := c.saved[id]; ok {
		c.order.Remove(e)
		delete(c.saved, id)
	}
}
