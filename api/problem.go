package api

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/pistachiolead/pistachiolead/catalogue"
	"github.com/pistachiolead/pistachiolead/dispatch"
)

// Values of the field "outcome" of a problem: whether the request ran.
const (
	outcomeNotRun  = "not-run"
	outcomeRan     = "ran"
	outcomeUnknown = "unknown"
)

// problem is the JSON body of every error response, and describes the failure of a job in its state.
type problem struct {
	Code         string `json:"code"`
	Message      string `json:"message"`
	Outcome      string `json:"outcome"`
	RequestID    string `json:"request-id,omitempty"`
	RetryAfterMS int64  `json:"retry-after-ms,omitempty"`
}

// statusOf maps codes of problems to HTTP status codes. For codes that it lacks, the status is 503 if the problem has a
// time to retry, and 409 otherwise.
var statusOf = map[string]int{
	codeInvalidRequest:                   http.StatusBadRequest,
	codeBodyTooLarge:                     http.StatusRequestEntityTooLarge,
	codeNotFound:                         http.StatusNotFound,
	codeMethodNotAllowed:                 http.StatusMethodNotAllowed,
	string(catalogue.CodeUnknownKey):     http.StatusUnauthorized,
	string(catalogue.CodeRevokedKey):     http.StatusForbidden,
	string(catalogue.CodeExpiredKey):     http.StatusForbidden,
	string(catalogue.CodeTeamNotAllowed): http.StatusForbidden,
	string(catalogue.CodeRoleNotAllowed): http.StatusForbidden,
	string(catalogue.CodeUnknownEntry):   http.StatusNotFound,
	dispatch.CodeUnknownRequest:          http.StatusNotFound,
	dispatch.CodeUnknownVersion:          http.StatusNotFound,
	dispatch.CodeInvalid:                 http.StatusUnprocessableEntity,
	dispatch.CodeNeverFits:               http.StatusUnprocessableEntity,
	codeTaskFailed:                       http.StatusUnprocessableEntity,
	dispatch.CodeDeadlinePassed:          http.StatusGatewayTimeout,
	dispatch.CodeLostContact:             http.StatusBadGateway,
}

// Codes of problems that this package creates. Package dispatch and package catalogue have others.
const (
	codeInvalidRequest   = "invalid-request"
	codeBodyTooLarge     = "body-too-large"
	codeNoRoom           = "no-room"
	codeNotFound         = "not-found"
	codeMethodNotAllowed = "method-not-allowed"
	codeTaskFailed       = "task-failed"
)

func writeProblem(c *fasthttp.RequestCtx, p problem) {
	status, ok := statusOf[p.Code]
	if !ok {
		status = http.StatusConflict
		if p.RetryAfterMS > 0 {
			status = http.StatusServiceUnavailable
		}
	}
	writeJSON(c, status, p)
}

func writeJSON(c *fasthttp.RequestCtx, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err) // the types that this package encodes have no fields that JSON lacks
	}
	c.SetStatusCode(status)
	c.SetContentType(contentJSON)
	c.SetBody(append(data, '\n'))
}

func writeInvalid(c *fasthttp.RequestCtx, message string) {
	writeProblem(c, problem{Code: codeInvalidRequest, Message: message, Outcome: outcomeNotRun})
}

func writeDenied(c *fasthttp.RequestCtx, d catalogue.Denied) {
	writeProblem(c, problem{Code: string(d.Code()), Message: d.Message(), Outcome: outcomeNotRun})
}

// problemOf returns the problem that describes an outcome other than success.
func problemOf(id string, o dispatch.Outcome) problem {
	switch o := o.(type) {
	case dispatch.NotRun:
		return problem{
			Code: o.Code(), Message: o.Message(), Outcome: outcomeNotRun, RequestID: id,
			RetryAfterMS: milliseconds(o.RetryAfter()),
		}
	case dispatch.OutcomeUnknown:
		return problem{Code: o.Code(), Message: o.Message(), Outcome: outcomeUnknown, RequestID: id}
	case dispatch.Rejected:
		return problem{
			Code: o.Code(), Message: o.Message(), Outcome: outcomeNotRun, RequestID: id,
			RetryAfterMS: milliseconds(o.RetryAfter()),
		}
	case dispatch.Answered:
		return problem{Code: codeTaskFailed, Message: string(o.Output()), Outcome: outcomeRan, RequestID: id}
	default:
		return problem{
			Code: "internal", Message: "the entry VM returned an outcome of an unknown type", Outcome: outcomeUnknown,
			RequestID: id,
		}
	}
}

func milliseconds(d time.Duration) int64 { return d.Milliseconds() }
