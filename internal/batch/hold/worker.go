package hold

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"bramleysail.example/bramleysail/internal/batch/rack"
	"bramleysail.example/bramleysail/internal/batch/wire"
)

// workers speaks with workers over HTTP.
type workers struct {
	client *http.Client
}

const (
	connsPerWorker = 4
	maxReport      = 4 << 20
)

func newWorkers(timeout time.Duration) *workers {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.MaxIdleConnsPerHost = connsPerWorker
	t.MaxConnsPerHost = connsPerWorker
	return &workers{&http.Client{Transport: t, Timeout: timeout}}
}

func (w *workers) close() { w.client.CloseIdleConnections() }

// errWorker says that a worker gave no usable answer.
var errWorker = errors.New("hold: no answer from the worker")

// command sends one command; without a usable answer its outcome is unknown.
func command[In any](ctx context.Context, w *workers, addr, verb string, in In) rack.Result {
	body, err := json.Marshal(in)
	if err != nil {
		return rack.Result{Lost: true}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/v1/"+verb, bytes.NewReader(body))
	if err != nil {
		return rack.Result{Lost: true}
	}
	resp, err := w.client.Do(req)
	if err != nil {
		return rack.Result{Lost: true}
	}
	defer resp.Body.Close()
	d := json.NewDecoder(io.LimitReader(resp.Body, maxReport))
	switch resp.StatusCode {
	case http.StatusOK:
		var rep wire.Report
		if d.Decode(&rep) == nil {
			return rack.Result{Report: rep}
		}
	case http.StatusConflict:
		var no struct{ Why wire.Refusal }
		if d.Decode(&no) == nil && no.Why != "" {
			return rack.Result{Refusal: no.Why}
		}
	}
	return rack.Result{Lost: true}
}

func (w *workers) report(ctx context.Context, addr string) (wire.Report, error) {
	var rep wire.Report
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/v1/report", nil)
	if err != nil {
		return rep, errors.Wrap(errWorker, err.Error())
	}
	resp, err := w.client.Do(req)
	if err != nil {
		return rep, errors.Wrap(errWorker, err.Error())
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return rep, errors.Wrap(errWorker, resp.Status)
	}
	return rep, errors.Wrap(json.NewDecoder(io.LimitReader(resp.Body, maxReport)).Decode(&rep), "hold")
}
