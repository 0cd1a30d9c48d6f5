package entry

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"bramleysail.example/bramleysail/internal/route/relay"
)

// Code is the stable name of an answer that isn't a target's own.
type Code string

// The codes, as docs/REQUESTS.md explains them to callers.
const (
	CodeOK              Code = "ok"
	CodeBadRequest      Code = "bad-request"
	CodeTooLarge        Code = "too-large"
	CodeSlowRequest     Code = "slow-request"
	CodeUnknownService  Code = "unknown-service"
	CodeOverloaded      Code = "overloaded"
	CodeNoTarget        Code = "no-target"
	CodeDeadline        Code = "deadline"
	CodeHomeUnavailable Code = "home-unsure"
	CodeNotSent         Code = "not-sent"
	CodeStillRunning    Code = "still-running"
	CodeAlreadyRun      Code = "already-run"
	CodeKeyReused       Code = "key-reused"
	CodeAnswerLost      Code = "answer-lost"
	CodeAnswerUnusable  Code = "answer-unusable"
	CodeOutcomeUnknown  Code = "outcome-unknown"
)

// Outcome says whether the request ran.
type Outcome string

// The outcomes, as they stand in the Sail-Outcome header.
const (
	OutcomeNotRun  Outcome = "not-run"
	OutcomeUnknown Outcome = "unknown"
	OutcomeDone    Outcome = "done"
)

type codeInfo struct {
	status  int
	outcome Outcome
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

// Failure is an answer of this project's own.
type Failure struct {
	Code       Code
	Text       string
	RetryAfter time.Duration // when to come back; 0 when coming back doesn't help
}

// Error implements error.
func (f *Failure) Error() string { return "entry: " + string(f.Code) + ": " + f.Text }

// writeTo sends the failure to the caller.
func (f *Failure) writeTo(w http.ResponseWriter) {
	m := codeInfos[f.Code]
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(relay.HeaderOutcome, string(m.outcome))
	if f.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(f.RetryAfter.Seconds()))))
	}
	w.WriteHeader(m.status)
	_ = json.NewEncoder(w).Encode(struct {
		Code    Code    `json:"code"`
		Outcome Outcome `json:"outcome"`
		Text    string  `json:"text"`
		After   int64   `json:"after,omitempty"` // milliseconds
	}{f.Code, m.outcome, f.Text, f.RetryAfter.Milliseconds()})
}
