package standin

import "time"

// lease is the state of the lease that a backend server grants, with the counters that its epochs are made of.
type lease struct {
	holder  string
	epoch   uint64
	expires time.Time
	// processStart is the start time of the server process in Unix ms. It forms the high bits of epochs.
	processStart uint64
	grants       uint64 // number of grants by this process, the low bits of epochs
}

// restarted returns the lease state of a new server process. Its start time is later than that of the old process, even
// if the clock has been set back.
func (l lease) restarted(now time.Time) lease {
	return lease{processStart: max(uint64(now.UnixMilli()), l.processStart+1)}
}

func (l lease) live(now time.Time) bool { return l.holder != "" && now.Before(l.expires) }

// current reports whether the lease is live and has the given epoch.
func (l lease) current(now time.Time, epoch uint64) bool { return l.live(now) && l.epoch == epoch }

// granted returns the lease after a grant to holder.
func (l lease) granted(now time.Time, holder string, d time.Duration) lease {
	l.grants++
	l.holder = holder
	l.epoch = l.processStart<<epochCounterBits + l.grants
	l.expires = now.Add(d)
	return l
}

func (l lease) renewed(now time.Time, d time.Duration) lease {
	l.expires = now.Add(d)
	return l
}

func (l lease) released() lease {
	l.holder = ""
	return l
}
