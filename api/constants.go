package api

import "time"

const (
	// KeyHeader carries the caller's key.
	KeyHeader = "Pistachiolead-Key"
	// RequestHeader carries the request id of an answer.
	RequestHeader = "Pistachiolead-Request"

	// defaultBodyBytes bounds the body of a request. It is larger than a payload because a body is JSON.
	defaultBodyBytes = 8 << 20
	// readBufferBytes bounds the headers of a request.
	readBufferBytes = 4 << 10
	// maxDiscardBytes bounds what is read of a body that is too large.
	maxDiscardBytes     = 64 << 20
	defaultReadTimeout  = 10 * time.Second
	defaultWriteTimeout = 30 * time.Second
	defaultIdleTimeout  = time.Minute
	// defaultWaitLimit bounds how long a query may wait for a state to change.
	defaultWaitLimit = time.Minute
	// callSlack is how long after the caller's deadline an answer is still waited for, so that the outcome at the
	// deadline reaches the caller.
	callSlack = 2 * time.Second
	// maxDeadline bounds the deadline of a call.
	maxDeadline = 24 * time.Hour
	// changeTimeout bounds the wait for a change. A change is told as pending before.
	changeTimeout = 10 * time.Second
	// maxIDLength is the length of a request id that a caller may choose.
	maxIDLength = 64
	// longestKeyLife bounds the time until a key expires, if it does.
	longestKeyLife = 10 * 365 * 24 * time.Hour
	// shutdownTimeout bounds the wait for open connections at a planned stop.
	shutdownTimeout = 5 * time.Second
)

const contentJSON = "application/json"
