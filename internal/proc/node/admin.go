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
	AdminToken    AdminCode = "token"        // 401
	AdminInvalid  AdminCode = "invalid"      // 400
	AdminConflict AdminCode = "conflict"     // 409
	AdminShrunken AdminCode = "shrunken"     // 409, may be confirmed
	AdminZone     AdminCode = "unknown-zone" // 404
	AdminAbsent   AdminCode = "not-found"    // 404
	AdminFull     AdminCode = "full"         // 503, nothing was changed
	AdminStore    AdminCode = "store"        // 503, the outcome may be unknown
)

// Problem is the error that the administration API answers with.
type Problem struct {
	Code AdminCode `json:"code"`
	Text string    `json:"text"`
}

// maxSheet is the largest sheet in bytes.
const maxSheet = 512 << 10

func (n *Node) adminHandler() http.Handler {
	r := chi.NewRouter()
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	r.Get("/readyz", n.readyz)
	r.Group(func(r chi.Router) {
		r.Use(n.needToken)
		r.Handle("/metrics", n.metrics)
		r.HandleFunc("/debug/pprof/*", pprof.Index)
		r.HandleFunc("/debug/pprof/profile", pprof.Profile)
		r.Get("/v1/status", n.status)
		r.Get("/v1/sheet", n.getSheet)
		r.Put("/v1/sheet", n.putSheet)
		r.Post("/v1/zones/{zone}/{move}", n.moveZone)
		r.Post("/v1/jobs", n.submitJob)
		r.Get("/v1/jobs/{id}", n.showJob)
		r.Post("/v1/jobs/{id}/cancel", n.cancelJob)
	})
	return r
}

// needToken lets only calls with the configured token through.
func (n *Node) needToken(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
		want := n.s.Admin.Token
		if want != "" && subtle.ConstantTimeCompare([]byte(got), []byte(want)) != 1 {
			answer(w, http.StatusUnauthorized, Problem{AdminToken, "this call needs the header Authorization: Bearer TOKEN"})
			return
		}
		next.ServeHTTP(w, r)
	})
}

func answer(w http.ResponseWriter, status int, body any) {
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

// problem turns an error of a layer below into an answer.
func problem(w http.ResponseWriter, err error) {
	var faults conf.Errors
	switch {
	case errors.As(err, &faults):
		answer(w, http.StatusBadRequest, Problem{AdminInvalid, strings.Join(faults, "\n")})
	case errors.Is(err, sheet.ErrConflict):
		answer(w, http.StatusConflict, Problem{AdminConflict, err.Error()})
	case errors.Is(err, sheet.ErrUnconfirmedRemoval):
		answer(w, http.StatusConflict, Problem{AdminShrunken, err.Error()})
	case errors.Is(err, sheet.ErrUnknownZone):
		answer(w, http.StatusNotFound, Problem{AdminZone, err.Error()})
	case errors.Is(err, store.ErrOutcomeUnknown):
		answer(w, http.StatusServiceUnavailable, Problem{AdminStore, "the platform's store did not answer; read back before trying again: " + err.Error()})
	default:
		answer(w, http.StatusInternalServerError, Problem{AdminStore, err.Error()})
	}
}

type configView struct {
	Num  uint64            `json:"num"`
	Out  map[string]uint64 `json:"out"`
	Text string            `json:"text"`
}

func (n *Node) getSheet(w http.ResponseWriter, r *http.Request) {
	c, err := sheet.LoadConfig(r.Context(), n.store)
	if err != nil {
		problem(w, err)
		return
	}
	answer(w, http.StatusOK, configView{c.Version, c.EvacuatedZones, c.SheetText})
}

func (n *Node) putSheet(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Text    string `json:"text"`
		Confirm bool   `json:"confirm"`
	}
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxSheet)).Decode(&in); err != nil {
		answer(w, http.StatusBadRequest, Problem{AdminInvalid, err.Error()})
		return
	}
	c, err := sheet.PutSheet(r.Context(), n.store, in.Text, in.Confirm)
	if err != nil {
		problem(w, err)
		return
	}
	n.feed.ApplyWritten(c)
	answer(w, http.StatusOK, configView{c.Version, c.EvacuatedZones, c.SheetText})
}

func (n *Node) moveZone(w http.ResponseWriter, r *http.Request) {
	move := chi.URLParam(r, "move")
	if move != "out" && move != "back" {
		answer(w, http.StatusNotFound, Problem{AdminInvalid, "a failure domain goes out or back"})
		return
	}
	c, err := sheet.SetZoneEvacuated(r.Context(), n.store, chi.URLParam(r, "zone"), move == "out")
	if err != nil {
		problem(w, err)
		return
	}
	n.feed.ApplyWritten(c)
	answer(w, http.StatusOK, configView{c.Version, c.EvacuatedZones, c.SheetText})
}

// submitTimeout is how long a submission waits for the store.
const submitTimeout = 5 * time.Second

// maxJob is the largest job in bytes as it is submitted.
const maxJob = 16 << 10

func (n *Node) submitJob(w http.ResponseWriter, r *http.Request) {
	var s jobs.Spec
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxJob))
	d.DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		answer(w, http.StatusBadRequest, Problem{AdminInvalid, err.Error()})
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), submitTimeout)
	defer cancel()
	answerJob(w, n.holder.Submit(ctx, hold.SubmitArgs{Spec: s}))
}

func (n *Node) cancelJob(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), submitTimeout)
	defer cancel()
	answerJob(w, n.holder.Submit(ctx, hold.SubmitArgs{Spec: jobs.Spec{ID: chi.URLParam(r, "id")}, Cancel: true}))
}

func (n *Node) showJob(w http.ResponseWriter, r *http.Request) {
	answerJob(w, n.holder.ReadJob(r.Context(), chi.URLParam(r, "id")))
}

// JobView is a job as the administration API shows it.
type JobView struct {
	Spec  jobs.Spec  `json:"spec"`
	State jobs.State `json:"state"`
	Why   string     `json:"why,omitempty"`
	Done  int        `json:"done"`
	Run   int        `json:"run"` // tasks that a rack has
}

func answerJob(w http.ResponseWriter, rep hold.SubmitReply) {
	switch rep.Code {
	case hold.CodeOK:
		j := rep.Job
		answer(w, http.StatusOK, JobView{j.Spec, j.State, j.Why, int(j.Done.Count()), len(j.Place)})
	case hold.CodeInvalid:
		answer(w, http.StatusBadRequest, Problem{AdminInvalid, rep.Text})
	case hold.CodeIDTaken:
		answer(w, http.StatusConflict, Problem{AdminConflict, rep.Text})
	case hold.CodeNotFound:
		answer(w, http.StatusNotFound, Problem{AdminAbsent, rep.Text})
	case hold.CodeBucketFull:
		answer(w, http.StatusServiceUnavailable, Problem{AdminFull, rep.Text})
	default:
		answer(w, http.StatusServiceUnavailable, Problem{AdminStore, rep.Text})
	}
}

// Status is what a process tells operators of itself.
type Status struct {
	Node     string                   `json:"node"`
	Zone     string                   `json:"zone"`
	Ready    bool                     `json:"ready"`
	Sure     bool                     `json:"sure"` // may act on what it holds
	Epoch    uint64                   `json:"epoch"`
	Members  []string                 `json:"members"`
	Config   uint64                   `json:"config"` // number of the configuration in force here
	Out      []string                 `json:"out"`
	Racks    []string                 `json:"racks"`   // held here
	Buckets  []string                 `json:"buckets"` // held here
	Services map[string]ServiceStatus `json:"services"`
}

// ServiceStatus is a service as one process sees it.
type ServiceStatus struct {
	Queued  int                `json:"queued"`
	Targets []pool.OwnedTarget `json:"targets"`
}

func (n *Node) status(w http.ResponseWriter, _ *http.Request) {
	view, c := n.group.View(), n.feed.Current()
	s := Status{Node: n.id, Zone: n.s.Zone, Ready: n.Ready(), Sure: n.keeper.Authorized(), Epoch: view.Epoch(),
		Config: c.Version, Services: map[string]ServiceStatus{}}
	s.Racks, s.Buckets = n.holder.HeldNames()
	for _, m := range view.Members() {
		s.Members = append(s.Members, m.ID)
	}
	for zone := range c.EvacuatedZones {
		s.Out = append(s.Out, zone)
	}
	for name, rt := range n.routes.all() {
		s.Services[name] = ServiceStatus{rt.broker.QueueLen(), rt.broker.Targets()}
	}
	answer(w, http.StatusOK, s)
}
