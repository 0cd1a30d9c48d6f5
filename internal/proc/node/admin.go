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

// AdminCode is the stable name of an error of the administration API.
type AdminCode string

// The codes of the administration API.
const (
	AdminUnauthorized    AdminCode = "token"        // 401
	AdminInvalid         AdminCode = "invalid"      // 400
	AdminConflict        AdminCode = "conflict"     // 409
	AdminUnconfirmedDrop AdminCode = "shrunken"     // 409, may be confirmed
	AdminUnknownZone     AdminCode = "unknown-zone" // 404
	AdminNotFound        AdminCode = "not-found"    // 404
	AdminBucketFull      AdminCode = "full"         // 503, nothing was changed
	AdminStoreFailure    AdminCode = "store"        // 503, the outcome may be unknown
)

// Problem is the error that the administration API answers with.
type Problem struct {
	Code AdminCode `json:"code"`
	Text string    `json:"text"`
}

// maxSheetBytes is the largest sheet in bytes.
const maxSheetBytes = 512 << 10

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

// requireToken lets only calls with the configured token through.
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

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// readyz answers 200 only while the balancer should send requests here.
func (n *Node) readyz(w http.ResponseWriter, _ *http.Request) {
	if !n.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// writeError turns an error of a layer below into an answer.
func writeError(w http.ResponseWriter, err error) {
	var faults conf.Errors
	switch {
	case errors.As(err, &faults):
		writeJSON(w, http.StatusBadRequest, Problem{AdminInvalid, strings.Join(faults, "\n")})
	case errors.Is(err, sheet.ErrConflict):
		writeJSON(w, http.StatusConflict, Problem{AdminConflict, err.Error()})
	case errors.Is(err, sheet.ErrUnconfirmedRemoval):
		writeJSON(w, http.StatusConflict, Problem{AdminUnconfirmedDrop, err.Error()})
	case errors.Is(err, sheet.ErrUnknownZone):
		writeJSON(w, http.StatusNotFound, Problem{AdminUnknownZone, err.Error()})
	case errors.Is(err, store.ErrOutcomeUnknown):
		writeJSON(w, http.StatusServiceUnavailable, Problem{AdminStoreFailure, "the platform's store did not answer; read back before trying again: " + err.Error()})
	default:
		writeJSON(w, http.StatusInternalServerError, Problem{AdminStoreFailure, err.Error()})
	}
}

type configView struct {
	Version        uint64            `json:"num"`
	EvacuatedZones map[string]uint64 `json:"out"`
	Text           string            `json:"text"`
}

func (n *Node) getSheet(w http.ResponseWriter, r *http.Request) {
	c, err := sheet.LoadConfig(r.Context(), n.store)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, configView{c.Version, c.EvacuatedZones, c.SheetText})
}

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

// submitTimeout is how long a submission waits for the store.
const submitTimeout = 5 * time.Second

// maxJobBytes is the largest job in bytes as it is submitted.
const maxJobBytes = 16 << 10

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

func (n *Node) cancelJob(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), submitTimeout)
	defer cancel()
	writeJob(w, n.batchHolder.Submit(ctx, hold.SubmitArgs{Spec: jobs.Spec{ID: chi.URLParam(r, "id")}, Cancel: true}))
}

func (n *Node) getJob(w http.ResponseWriter, r *http.Request) {
	writeJob(w, n.batchHolder.ReadJob(r.Context(), chi.URLParam(r, "id")))
}

// JobView is a job as the administration API shows it.
type JobView struct {
	Spec          jobs.Spec  `json:"spec"`
	State         jobs.State `json:"state"`
	Reason        string     `json:"why,omitempty"`
	FinishedTasks int        `json:"done"`
	PlacedTasks   int        `json:"run"` // tasks that a rack has
}

func writeJob(w http.ResponseWriter, rep hold.SubmitReply) {
	switch rep.Code {
	case hold.CodeOK:
		j := rep.Job
		writeJSON(w, http.StatusOK, JobView{j.Spec, j.State, j.Why, int(j.Done.Count()), len(j.Place)})
	case hold.CodeInvalid:
		writeJSON(w, http.StatusBadRequest, Problem{AdminInvalid, rep.Text})
	case hold.CodeIDTaken:
		writeJSON(w, http.StatusConflict, Problem{AdminConflict, rep.Text})
	case hold.CodeNotFound:
		writeJSON(w, http.StatusNotFound, Problem{AdminNotFound, rep.Text})
	case hold.CodeBucketFull:
		writeJSON(w, http.StatusServiceUnavailable, Problem{AdminBucketFull, rep.Text})
	default:
		writeJSON(w, http.StatusServiceUnavailable, Problem{AdminStoreFailure, rep.Text})
	}
}

// Status is what a process tells operators of itself.
type Status struct {
	Node           string                   `json:"node"`
	Zone           string                   `json:"zone"`
	Ready          bool                     `json:"ready"`
	Authorized     bool                     `json:"sure"` // may act on what it holds
	ViewEpoch      uint64                   `json:"epoch"`
	Members        []string                 `json:"members"`
	ConfigVersion  uint64                   `json:"config"` // number of the configuration in force here
	EvacuatedZones []string                 `json:"out"`
	Racks          []string                 `json:"racks"`   // held here
	Buckets        []string                 `json:"buckets"` // held here
	Services       map[string]ServiceStatus `json:"services"`
}

// ServiceStatus is a service as one process sees it.
type ServiceStatus struct {
	Queued  int                `json:"queued"`
	Targets []pool.OwnedTarget `json:"targets"`
}

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
	for name, rt := range n.services.snapshot() {
		s.Services[name] = ServiceStatus{rt.broker.QueueLen(), rt.broker.Targets()}
	}
	writeJSON(w, http.StatusOK, s)
}
