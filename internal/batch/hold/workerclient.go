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

// workerClient speaks with workerClient over HTTP.
type workerClient struct {
	client *http.Client
}

const (
	connsPerWorker = 4
	maxReportBytes = 4 << 20
)

func newWorkerClient(timeout time.Duration) *workerClient {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.MaxIdleConnsPerHost = connsPerWorker
	t.MaxConnsPerHost = connsPerWorker
	return &workerClient{&http.Client{Transport: t, Timeout: timeout}}
}

func (w *workerClient) close() { w.client.CloseIdleConnections() }

// errNoAnswer says that a worker gave no usable answer.
var errNoAnswer = errors.New("hold: no answer from the worker")

// sendCommand sends one sendCommand; without a usable answer its outcome is unknown.
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
		var rep wire.Report
		if d.Decode(&rep) == nil {
			return rack.CommandResult{Report: rep}
		}
	case http.StatusConflict:
		var no struct{ Why wire.Refusal }
		if d.Decode(&no) == nil && no.Why != "" {
			return rack.CommandResult{Refusal: no.Why}
		}
	}
	return rack.CommandResult{NoAnswer: true}
}

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
	return rep, errors.Wrap(json.NewDecoder(io.LimitReader(resp.Body, maxReportBytes)).Decode(&rep), "hold")
}
