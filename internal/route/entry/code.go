package entry

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"bramleysail.example/bramleysail/internal/route/relay"
)

// Code is the stable name of an answer's kind: CodeOK for a target's answer, or the cause of a Failure.
type Code string

// The codes, as docs/REQUESTS.md explains them to callers.
const (
	CodeOK              Code = "ok"              // a target's answer, or the stored answer for a repeat
	CodeBadRequest      Code = "bad-request"     // a header of the request is invalid
	CodeTooLarge        Code = "too-large"       // the request's body exceeds the limit
	CodeSlowRequest     Code = "slow-request"    // the request's body didn't arrive in time
	CodeUnknownService  Code = "unknown-service" // no service of that name is declared
	CodeOverloaded      Code = "overloaded"      // more requests wait than can be answered in time
	CodeNoTarget        Code = "no-target"       // no target is usable now
	CodeDeadline        Code = "deadline"        // the deadline passed before a slot was free
	CodeHomeUnavailable Code = "home-unsure"     // the home of the request id can't decide whether it is new
	CodeNotSent         Code = "not-sent"        // no target accepted the request
	CodeStillRunning    Code = "still-running"   // a request with the same key is running
	CodeAlreadyRun      Code = "already-run"     // the request ran before; its answer was too large to be stored
	CodeKeyReused       Code = "key-reused"      // the key belongs to a request with other content
	CodeAnswerLost      Code = "answer-lost"     // no usable answer came; the request may have run
	CodeAnswerUnusable  Code = "answer-unusable" // the target's answer is invalid; the request may have run
	CodeOutcomeUnknown  Code = "outcome-unknown" // an earlier request with the same key may have run
)

// Outcome says whether the request ran.
type Outcome string

// The outcomes, which are the values of the Sail-Outcome header.
const (
	OutcomeNotRun  Outcome = "not-run"
	OutcomeUnknown Outcome = "unknown"
	OutcomeDone    Outcome = "done"
)

// codeInfo is what a failure with a code tells the caller.
type codeInfo struct {
	status  int     // HTTP status
	outcome Outcome // whether the request ran
}

var codeInfos = map[Code]codeInfo{
	CodeBadRequest:      {http.StatusBadRequest, OutcomeNotRun},
	CodeTooLarge:        {http.StatusRequestEntityTooLarge, OutcomeNotRun},
	CodeSlowRequest:     {http.StatusRequestTimeout, OutcomeNotRun},
	CodeUnknownService:  {http.StatusNotFound, OutcomeNotRun},
	CodeOverloaded:      {http.StatusServiceUnavailable, OutcomeNotRun},
	CodeNoTarget:        {http.StatusServiceUnavailable, OutcomeNotRun},
	CodeDeadline:        {http.StatusGatewayTimeout, OutcomeNotRun},
	CodeHomeUnavailable: {http.StatusServiceUnavailable, OutcomeNotRun},
	CodeNotSent:         {http.StatusServiceUnavailable, OutcomeNotRun},
	CodeKeyReused:       {http.StatusUnprocessableEntity, OutcomeNotRun},
	CodeStillRunning:    {http.StatusConflict, OutcomeUnknown},
	CodeAlreadyRun:      {http.StatusConflict, OutcomeDone},
	CodeAnswerLost:      {http.StatusBadGateway, OutcomeUnknown},
	CodeAnswerUnusable:  {http.StatusBadGateway, OutcomeUnknown},
	CodeOutcomeUnknown:  {http.StatusBadGateway, OutcomeUnknown},
}

// Failure is an answer by the entry process itself, in place of a target's answer.
type Failure struct {
	Code       Code          // the cause
	Text       string        // explanation for the caller
	RetryAfter time.Duration // when a retry is worthwhile; 0 when it never is
}

// Error implements error.
func (f *Failure) Error() string { return "entry: " + string(f.Code) + ": " + f.Text }

// writeTo sends the failure to the caller.
func (f *Failure) writeTo(w http.ResponseWriter) {
	info := codeInfos[f.Code]
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(relay.HeaderOutcome, string(info.outcome))
	if f.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(f.RetryAfter.Seconds()))))
	}
	w.WriteHeader(info.status)
	_ = json.NewEncoder(w).Encode(struct {
		Code    Code    `json:"code"`
		Outcome Outcome `json:"outcome"`
		Text    string  `json:"text"`
		After   int64   `json:"after,omitempty"` // milliseconds
	}{f.Code, info.outcome, f.Text, f.RetryAfter.Milliseconds()})
}
