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

// workerClient sends commands to workers and reads their reports, over HTTP.
type workerClient struct {
	client *http.Client
}

const (
	connsPerWorker = 4       // most connections to one worker
	maxReportBytes = 4 << 20 // most bytes read of a worker's answer
)

// newWorkerClient returns a client whose calls take at most timeout.
func newWorkerClient(timeout time.Duration) *workerClient {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.MaxIdleConnsPerHost = connsPerWorker
	t.MaxConnsPerHost = connsPerWorker
	return &workerClient{&http.Client{Transport: t, Timeout: timeout}}
}

// close closes the idle connections.
func (w *workerClient) close() { w.client.CloseIdleConnections() }

// errNoAnswer means that a worker gave no usable answer.
var errNoAnswer = errors.New("hold: no usable answer from the worker")

// sendCommand sends one command to a worker. Without a usable answer its outcome is unknown:
// the worker may have carried it out.
func sendCommand[In any](ctx context.Context, w *workerClient, addr, verb string, in In) rack.CommandResult {
	body, err := json.Marshal(in)
	if err != nil {
		return rack.CommandResult{NoAnswer: true}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/v1/"+verb, bytes.NewReader(body))
	if err != nil {
		return rack.CommandResult{NoAnswer: true}
	}
	resp, err := w.client.Do(req)
	if err != nil {
		return rack.CommandResult{NoAnswer: true}
	}
	defer resp.Body.Close()
	d := json.NewDecoder(io.LimitReader(resp.Body, maxReportBytes))
	switch resp.StatusCode {
	case http.StatusOK:
		var report wire.Report
		if d.Decode(&report) == nil {
			return rack.CommandResult{Report: report}
		}
	case http.StatusConflict:
		var refusal struct{ Why wire.Refusal }
		if d.Decode(&refusal) == nil && refusal.Why != "" {
			return rack.CommandResult{Refusal: refusal.Why}
		}
	}
	return rack.CommandResult{NoAnswer: true}
}

// readReport reads a worker's report, which may be out of date.
func (w *workerClient) readReport(ctx context.Context, addr string) (wire.Report, error) {
	var rep wire.Report
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/v1/report", nil)
	if err != nil {
		return rep, errors.Wrap(errNoAnswer, err.Error())
	}
	resp, err := w.client.Do(req)
	if err != nil {
		return rep, errors.Wrap(errNoAnswer, err.Error())
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return rep, errors.Wrap(errNoAnswer, resp.Status)
	}
	return rep, errors.Wrap(json.NewDecoder(io.LimitReader(resp.Body, maxReportBytes)).Decode(&rep), "hold: decode worker report")
}
