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
	CodeOK         Code = "ok"
	CodeBadRequest Code = "bad-request"
	CodeTooLarge   Code = "too-large"
	CodeSlow       Code = "slow-request"
	CodeService    Code = "unknown-service"
	CodeOverloaded Code = "overloaded"
	CodeNoTarget   Code = "no-target"
	CodeDeadline   Code = "deadline"
	CodeUnsure     Code = "home-unsure"
	CodeNotSent    Code = "not-sent"
	CodeRunning    Code = "still-running"
	CodeAlready    Code = "already-run"
	CodeMismatch   Code = "key-reused"
	CodeLost       Code = "answer-lost"
	CodeAnswer     Code = "answer-unusable"
	CodeUnknown    Code = "outcome-unknown"
)

// Outcome says whether the request ran.
type Outcome string

// The outcomes, as they stand in the Sail-Outcome header.
const (
	OutcomeNotRun  Outcome = "not-run"
	OutcomeUnknown Outcome = "unknown"
	OutcomeDone    Outcome = "done"
)

type meaning struct {
	status  int
	outcome Outcome
}

var meanings = map[Code]meaning{
	CodeBadRequest: {http.StatusBadRequest, OutcomeNotRun},
	CodeTooLarge:   {http.StatusRequestEntityTooLarge, OutcomeNotRun},
	CodeSlow:       {http.StatusRequestTimeout, OutcomeNotRun},
	CodeService:    {http.StatusNotFound, OutcomeNotRun},
	CodeOverloaded: {http.StatusServiceUnavailable, OutcomeNotRun},
	CodeNoTarget:   {http.StatusServiceUnavailable, OutcomeNotRun},
	CodeDeadline:   {http.StatusGatewayTimeout, OutcomeNotRun},
	CodeUnsure:     {http.StatusServiceUnavailable, OutcomeNotRun},
	CodeNotSent:    {http.StatusServiceUnavailable, OutcomeNotRun},
	CodeMismatch:   {http.StatusUnprocessableEntity, OutcomeNotRun},
	CodeRunning:    {http.StatusConflict, OutcomeUnknown},
	CodeAlready:    {http.StatusConflict, OutcomeDone},
	CodeLost:       {http.StatusBadGateway, OutcomeUnknown},
	CodeAnswer:     {http.StatusBadGateway, OutcomeUnknown},
	CodeUnknown:    {http.StatusBadGateway, OutcomeUnknown},
}

// Failure is an answer of this project's own.
type Failure struct {
	Code  Code
	Text  string
	After time.Duration // when to come back; 0 when coming back doesn't help
}

// Error implements error.
func (f *Failure) Error() string { return "entry: " + string(f.Code) + ": " + f.Text }

// write sends the failure to the caller.
func (f *Failure) write(w http.ResponseWriter) {
	m := meanings[f.Code]
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(relay.HeaderOutcome, string(m.outcome))
	if f.After > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(f.After.Seconds()))))
	}
	w.WriteHeader(m.status)
	_ = json.NewEncoder(w).Encode(struct {
		Code    Code    `json:"code"`
		Outcome Outcome `json:"outcome"`
		Text    string  `json:"text"`
		After   int64   `json:"after,omitempty"` // milliseconds
	}{f.Code, m.outcome, f.Text, f.After.Milliseconds()})
}
