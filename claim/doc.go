// Package claim keeps non-idempotent requests from running twice (R8) and makes "not run" a fact (R7).
//
// Before a non-idempotent request is started, a row claim/<request id> is created with a conditional write. The claim
// is then finished, or abandoned once the backend server has closed the attempt, which means that it never started and
// never will. Only an abandoned claim may be retried, with the next attempt (section 5.5 of the design page).
//
// All functions are pure. They return transactions; an update names the version of the row that was read, so that
// of several racing updates one is applied.
package claim
