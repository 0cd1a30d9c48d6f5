package node

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"net/http/pprof"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/pkg/errors"

	"bramleysail.example/bramleysail/internal/base/conf"
	"bramleysail.example/bramleysail/internal/batch/hold"
	"bramleysail.example/bramleysail/internal/batch/jobs"
	"bramleysail.example/bramleysail/internal/ctrl/sheet"
	"bramleysail.example/bramleysail/internal/plat/store"
	"bramleysail.example/bramleysail/internal/route/pool"
)

// AdminCode identifies a kind of error of the administration API. Clients match it.
type AdminCode string

// Error codes of the administration API, with their HTTP status.
const (
	AdminUnauthorized       AdminCode = "token"        // 401: the administration token is missing or wrong
	AdminInvalid            AdminCode = "invalid"      // 400: the request is invalid
	AdminConflict           AdminCode = "conflict"     // 409: the configuration changed in between, or a different job has the id
	AdminUnconfirmedRemoval AdminCode = "shrunken"     // 409: the sheet removes half or more of what is declared and this was not confirmed
	AdminUnknownZone        AdminCode = "unknown-zone" // 404: the failure domain is not declared
	AdminNotFound           AdminCode = "not-found"    // 404: no such job
	AdminBucketFull         AdminCode = "full"         // 503: the job's bucket is full; nothing was changed
	AdminNotEncoded         AdminCode = "encode"       // 500: the change can't be encoded for the store; nothing was changed
	AdminStoreFailure       AdminCode = "store"        // 503 or 500: the store failed or the job's bucket was not reached; the outcome may be unknown
)

// Problem is the body of an error response of the administration API.
type Problem struct {
	Code AdminCode `json:"code"`
	Text string    `json:"text"` // for operators
}

// maxSheetBytes is the largest size of the request that puts a sheet.
const maxSheetBytes = 512 << 10

// adminHandler returns the HTTP interface for administration: health, metrics, profiles and the API.
func (n *Node) adminHandler() http.Handler {
	r := chi.NewRouter()
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	r.Get("/readyz", n.readyz)
	r.Group(func(r chi.Router) {
		r.Use(n.requireToken)
		r.Handle("/metrics", n.metricsHandler)
		r.HandleFunc("/debug/pprof/*", pprof.Index)
		r.HandleFunc("/debug/pprof/profile", pprof.Profile)
		r.Get("/v1/status", n.getStatus)
		r.Get("/v1/sheet", n.getSheet)
		r.Put("/v1/sheet", n.putSheet)
		r.Post("/v1/zones/{zone}/{move}", n.setZoneEvacuated)
		r.Post("/v1/jobs", n.submitJob)
		r.Get("/v1/jobs/{id}", n.getJob)
		r.Post("/v1/jobs/{id}/cancel", n.cancelJob)
	})
	return r
}

// requireToken rejects calls without the administration token, if one is configured.
func (n *Node) requireToken(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
		want := n.settings.Admin.Token
		if want != "" && subtle.ConstantTimeCompare([]byte(got), []byte(want)) != 1 {
			writeJSON(w, http.StatusUnauthorized, Problem{AdminUnauthorized, "this call needs the header Authorization: Bearer TOKEN"})
			return
		}
		next.ServeHTTP(w, r)
	})
}

// writeJSON writes a response with a JSON body.
func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// readyz answers 200 while the load balancer should send requests to this process, otherwise 503.
func (n *Node) readyz(w http.ResponseWriter, _ *http.Request) {
	if !n.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// writeError writes an error of the configuration or the store as a Problem.
func writeError(w http.ResponseWriter, err error) {
	var configErrs conf.Errors
	switch {
	case errors.As(err, &configErrs):
		writeJSON(w, http.StatusBadRequest, Problem{AdminInvalid, strings.Join(configErrs, "\n")})
	case errors.Is(err, sheet.ErrConflict):
		writeJSON(w, http.StatusConflict, Problem{AdminConflict, err.Error()})
	case errors.Is(err, sheet.ErrUnconfirmedRemoval):
		writeJSON(w, http.StatusConflict, Problem{AdminUnconfirmedRemoval, err.Error()})
	case errors.Is(err, sheet.ErrUnknownZone):
		writeJSON(w, http.StatusNotFound, Problem{AdminUnknownZone, err.Error()})
	case errors.Is(err, store.ErrOutcomeUnknown):
		writeJSON(w, http.StatusServiceUnavailable, Problem{AdminStoreFailure, "the platform's store did not answer; read back before trying again: " + err.Error()})
	default:
		writeJSON(w, http.StatusInternalServerError, Problem{AdminStoreFailure, err.Error()})
	}
}

// configView is the configuration in force as the administration API shows it.
type configView struct {
	Version        uint64            `json:"num"`
	EvacuatedZones map[string]uint64 `json:"out"`  // evacuated zones with the version that evacuated each
	Text           string            `json:"text"` // of the sheet
}

// getSheet answers with the configuration as the store has it.
func (n *Node) getSheet(w http.ResponseWriter, r *http.Request) {
	c, err := sheet.LoadConfig(r.Context(), n.store)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, configView{c.Version, c.EvacuatedZones, c.SheetText})
}

// putSheet puts a sheet in force. This process applies it before the store's watch reports it.
func (n *Node) putSheet(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Text    string `json:"text"`
		Confirm bool   `json:"confirm"`
	}
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxSheetBytes)).Decode(&in); err != nil {
		writeJSON(w, http.StatusBadRequest, Problem{AdminInvalid, err.Error()})
		return
	}
	c, err := sheet.PutSheet(r.Context(), n.store, in.Text, in.Confirm)
	if err != nil {
		writeError(w, err)
		return
	}
	n.configWatcher.ApplyWritten(c)
	writeJSON(w, http.StatusOK, configView{c.Version, c.EvacuatedZones, c.SheetText})
}

// setZoneEvacuated evacuates a failure domain (out) or ends its evacuation (back).
func (n *Node) setZoneEvacuated(w http.ResponseWriter, r *http.Request) {
	move := chi.URLParam(r, "move")
	if move != "out" && move != "back" {
		writeJSON(w, http.StatusNotFound, Problem{AdminInvalid, "a failure domain goes out or back"})
		return
	}
	c, err := sheet.SetZoneEvacuated(r.Context(), n.store, chi.URLParam(r, "zone"), move == "out")
	if err != nil {
		writeError(w, err)
		return
	}
	n.configWatcher.ApplyWritten(c)
	writeJSON(w, http.StatusOK, configView{c.Version, c.EvacuatedZones, c.SheetText})
}

// submitTimeout is the longest time that a submission or cancellation waits to be stored.
const submitTimeout = 5 * time.Second

// maxJobBytes is the largest size of the request that submits a job.
const maxJobBytes = 16 << 10

// submitJob submits a job and answers once it is stored.
func (n *Node) submitJob(w http.ResponseWriter, r *http.Request) {
	var s jobs.Spec
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxJobBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		writeJSON(w, http.StatusBadRequest, Problem{AdminInvalid, err.Error()})
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), submitTimeout)
	defer cancel()
	writeJob(w, n.batchHolder.Submit(ctx, hold.SubmitArgs{Spec: s}))
}

// cancelJob cancels a job and answers once that is stored.
func (n *Node) cancelJob(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), submitTimeout)
	defer cancel()
	writeJob(w, n.batchHolder.Submit(ctx, hold.SubmitArgs{Spec: jobs.Spec{ID: chi.URLParam(r, "id")}, Cancel: true}))
}

// getJob answers with a job as the store has it.
func (n *Node) getJob(w http.ResponseWriter, r *http.Request) {
	writeJob(w, n.batchHolder.ReadJob(r.Context(), chi.URLParam(r, "id")))
}

// JobView is a job as the administration API shows it.
type JobView struct {
	Spec          jobs.Spec  `json:"spec"`
	State         jobs.State `json:"state"`
	Reason        string     `json:"why,omitempty"` // why the job is parked
	FinishedTasks int        `json:"done"`          // number of finished tasks
	PlacedTasks   int        `json:"run"`           // number of tasks assigned to a rack
}

// writeJob writes the result of a submission, a cancellation or a read of a job.
func writeJob(w http.ResponseWriter, reply hold.SubmitReply) {
	switch reply.Code {
	case hold.CodeOK:
		j := reply.Job
		writeJSON(w, http.StatusOK, JobView{j.Spec, j.State, j.Why, int(j.Done.Count()), len(j.Place)})
	case hold.CodeInvalid:
		writeJSON(w, http.StatusBadRequest, Problem{AdminInvalid, reply.Text})
	case hold.CodeIDTaken:
		writeJSON(w, http.StatusConflict, Problem{AdminConflict, reply.Text})
	case hold.CodeNotFound:
		writeJSON(w, http.StatusNotFound, Problem{AdminNotFound, reply.Text})
	case hold.CodeBucketFull:
		writeJSON(w, http.StatusServiceUnavailable, Problem{AdminBucketFull, reply.Text})
	case hold.CodeNotEncoded:
		writeJSON(w, http.StatusInternalServerError, Problem{AdminNotEncoded, reply.Text})
	default:
		writeJSON(w, http.StatusServiceUnavailable, Problem{AdminStoreFailure, reply.Text})
	}
}

// Status is the state of an entry process as the administration API shows it.
type Status struct {
	Node           string                   `json:"node"`    // the process's id
	Zone           string                   `json:"zone"`    // failure domain of the process
	Ready          bool                     `json:"ready"`   // the load balancer should send requests to it
	Authorized     bool                     `json:"sure"`    // it may act on what it holds
	ViewEpoch      uint64                   `json:"epoch"`   // of its view of the membership
	Members        []string                 `json:"members"` // ids of the entry processes in that view
	ConfigVersion  uint64                   `json:"config"`  // version of the configuration that it applies
	EvacuatedZones []string                 `json:"out"`     // failure domains that operators have taken out
	Racks          []string                 `json:"racks"`   // names of the racks that it holds
	Buckets        []string                 `json:"buckets"` // names of the buckets that it holds
	Services       map[string]ServiceStatus `json:"services"`
}

// ServiceStatus is the state of a service at one entry process.
type ServiceStatus struct {
	Queued  int                `json:"queued"`  // requests that wait for a slot at this process
	Targets []pool.OwnedTarget `json:"targets"` // targets whose slots this process owns
}

// getStatus answers with the Status of this process.
func (n *Node) getStatus(w http.ResponseWriter, _ *http.Request) {
	view, c := n.membership.View(), n.configWatcher.Current()
	s := Status{Node: n.id, Zone: n.settings.Zone, Ready: n.Ready(), Authorized: n.assigner.Authorized(), ViewEpoch: view.Epoch(),
		ConfigVersion: c.Version, Services: map[string]ServiceStatus{}}
	s.Racks, s.Buckets = n.batchHolder.HeldNames()
	for _, m := range view.Members() {
		s.Members = append(s.Members, m.ID)
	}
	for zone := range c.EvacuatedZones {
		s.EvacuatedZones = append(s.EvacuatedZones, zone)
	}
	for name, svc := range n.services.snapshot() {
		s.Services[name] = ServiceStatus{svc.broker.QueueLen(), svc.broker.Targets()}
	}
	writeJSON(w, http.StatusOK, s)
}
