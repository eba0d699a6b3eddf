package standin

import "time"

// lease is the one session of a backend server, and the source of its epochs.
type lease struct {
	holder string
	epoch  uint64
	until  time.Time
	// process is the start time of the server process in Unix ms.
	process uint64
	count   uint64
}

// restarted returns the lease state of a new server process. Its start time is later than that of the old process
// even if the clock has been set back.
func (l lease) restarted(now time.Time) lease {
	return lease{process: max(uint64(now.UnixMilli()), l.process+1)}
}

func (l lease) live(now time.Time) bool { return l.holder != "" && now.Before(l.until) }

// current reports whether epoch is that of the live lease.
func (l lease) current(now time.Time, epoch uint64) bool { return l.live(now) && l.epoch == epoch }

// granted returns the lease after a grant to holder.
func (l lease) granted(now time.Time, holder string, d time.Duration) lease {
	l.count++
	l.holder = holder
	l.epoch = l.process<<epochCounterBits + l.count
	l.until = now.Add(d)
	return l
}

func (l lease) renewed(now time.Time, d time.Duration) lease {
	l.until = now.Add(d)
	return l
}

func (l lease) released() lease {
	l.holder = ""
	return l
}
