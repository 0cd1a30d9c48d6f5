package hosts

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/pkg/errors"
)

// Kind says what runs on a host.
type Kind string

// The kinds of hosts in the list.
const (
	KindTarget Kind = "target" // a back end of a service
	KindWorker Kind = "worker" // runs tasks
)

// State is the state of a host according to the list.
type State string

// The states of a host.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Host is one entry of the list: a target of a service, or a worker in a rack.
type Host struct {
	Addr    string `json:"addr"` // host:port
	Kind    Kind   `json:"kind"`
	Zone    string `json:"zone"`              // failure domain
	Rack    string `json:"rack,omitempty"`    // of a worker
	Service string `json:"service,omitempty"` // of a target
	State   State  `json:"state"`
}

// ErrRead is returned when the list could not be read. The list last read stays in use.
var ErrRead = errors.New("hosts: list not read")

// maxListSize is the size in bytes of the largest list that is read.
const maxListSize = 64 << 20

// Read fetches the list from url.
func Read(ctx context.Context, c *http.Client, url string) ([]Host, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, errors.Wrap(ErrRead, err.Error())
	}
	resp, err := c.Do(req)
	if err != nil {
		return nil, errors.Wrap(ErrRead, err.Error())
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Wrap(ErrRead, resp.Status)
	}
	var rows []Host
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxListSize)).Decode(&rows); err != nil {
		return nil, errors.Wrap(ErrRead, err.Error())
	}
	return rows, nil
}
