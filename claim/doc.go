// Package claim keeps non-idempotent requests from running twice (R8), and makes the statement that a request did not
// run reliable (R7). Its inputs are requests, the stored rows of claims, and the results of attempts. Its outputs are
// decisions and the transactions that store claims.
//
// Before a non-idempotent request is started, a row claim/<request id> is created with a conditional write. The claim
// is later finished, or it is abandoned once the backend server has closed the attempt. A closed attempt never
// started and never will. Only an abandoned claim may be retried, with the next attempt (section 5.5 of the design
// page).
//
// All functions are pure. They return transactions; an update is conditional on the version of the row that was read,
// so only one of several concurrent updates is applied.
package claim
