package api

import "time"

const (
	// KeyHeader is the request header with the secret of the caller's key.
	KeyHeader = "Pistachiolead-Key"
	// RequestHeader is the response header with the id of the request.
	RequestHeader = "Pistachiolead-Request"

	// defaultBodyBytes is the maximum size of a request body. It exceeds that of a payload, which the body wraps in JSON.
	defaultBodyBytes = 8 << 20
	// readBufferBytes is the size of a connection's read buffer, which also limits the size of request headers.
	readBufferBytes = 4 << 10
	// bodiesInBudget is how many bodies of the largest size the default budget has room for.
	bodiesInBudget = 4
	// maxDiscardBytes limits how many bytes of a body that is too large are read and discarded.
	maxDiscardBytes     = 64 << 20
	defaultReadTimeout  = 10 * time.Second
	defaultWriteTimeout = 30 * time.Second
	defaultIdleTimeout  = time.Minute
	// defaultWaitLimit is the largest value of the query parameter wait-ms.
	defaultWaitLimit = time.Minute
	// outcomeGrace is how long after the deadline of a request the server waits for its outcome, so that an outcome
	// that is determined at the deadline still reaches the caller.
	outcomeGrace = 2 * time.Second
	// maxDeadline is the longest deadline of a call or a job, from its submission.
	maxDeadline = 24 * time.Hour
	// changeTimeout limits how long the server waits for the outcome of a change, a query or a job submission. The
	// entry VM reports a change that isn't in force yet as pending before that.
	changeTimeout = 10 * time.Second
	// maxIDLength is the maximum length in bytes of a request id that a caller chooses.
	maxIDLength = 64
	// maxKeyLifetime is the longest time until a key expires. A key may also have no expiry time.
	maxKeyLifetime = 10 * 365 * 24 * time.Hour
	// maxExamples is how many backend servers of a group an explanation names.
	maxExamples = 3
	// shutdownTimeout limits how long a planned stop waits for requests in progress.
	shutdownTimeout = 5 * time.Second
)

// unreadableMessage describes a request that can't be read.
const unreadableMessage = "the request isn't valid HTTP or wasn't received before the timeout"

const contentJSON = "application/json"
