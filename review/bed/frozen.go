package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"sync"
	"time"
)

func init() { scenarios["frozen"] = playFrozen }

const (
	freezeTime  = 3500 * time.Millisecond // of one host
	leaveAfter  = 200 * time.Millisecond  // a client that has no answer leaves, and cancels its job
	cancelBound = 3 * time.Second         // cancel_ms
	leavers     = 6
	leaverPause = 40 * time.Millisecond // between two of them
)

// playFrozen: one of nine hosts, not the holder, stands still. Clients that have sent it a job leave before their deadline and
// cancel the job at another host.
func playFrozen(b *bed) error {
	if err := b.up(9, 10, 16000); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	holder := b.holder()
	if holder == nil {
		return errors.New("no holder")
	}
	frozen := b.hosts[0]
	if frozen == holder {
		frozen = b.hosts[1]
	}
	others := &client{http: b.client.http, ledger: b.ledger}
	for _, h := range b.hosts {
		if h != frozen {
			others.addrs = append(others.addrs, h.caller)
		}
	}
	// Each client has an open connection to the host.
	clients := make([]*http.Client, leavers)
	for i := range clients {
		clients[i] = &http.Client{Transport: &http.Transport{}}
		c := &client{http: clients[i], ledger: b.ledger}
		c.send(http.MethodGet, frozen.caller, b.queue.prefix, nil)
	}
	if b.trouble {
		b.ledger.note("host %s stands still; the holder is %s", frozen.name, holder.name)
		frozen.freeze(freezeTime)
	}
	var wg sync.WaitGroup
	for _, c := range clients {
		wg.Go(func() { b.submitAndLeave(c, frozen, others) })
		time.Sleep(leaverPause)
	}
	wg.Wait()
	time.Sleep(freezeTime + 8*time.Second)
	b.judgeCancels()
	return nil
}

// submitAndLeave hands a job in at a host, over an open connection, leaves if there is no answer in time, and cancels it.
func (b *bed) submitAndLeave(c *http.Client, h *host, others *client) {
	body := chain(3, 2, 1500, 500)
	j := &job{id: newID(), queue: b.queue, body: body}
	b.ledger.mu.Lock()
	b.ledger.jobs[j.id] = j
	b.ledger.mu.Unlock()
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), leaveAfter)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.caller+b.queue.prefix+j.id, bytes.NewReader(data))
	if err != nil {
		panic(err)
	}
	req.Host = queueHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	code := 0
	if resp, err := c.Do(req); err == nil {
		code = resp.StatusCode
		_ = resp.Body.Close()
	}
	c.CloseIdleConnections()
	b.ledger.note("client submits %s to %s: %d (0: it left)", j.id, h.name, code)
	for range 10 {
		if others.cancel(j) {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// judgeCancels checks that no task began later than cancel_ms after the cancel of its job was acknowledged.
func (b *bed) judgeCancels() {
	for _, j := range b.ledger.jobs {
		b.ledger.note("job %s is shown as %q at the end", j.id, b.client.state(j))
	}
	b.ledger.mu.Lock()
	defer b.ledger.mu.Unlock()
	for _, runs := range b.ledger.runs {
		for _, r := range runs {
			j := b.ledger.jobs[r.task[:16]]
			if since := r.began.Sub(j.cancelled); !j.cancelled.IsZero() && since > cancelBound {
				b.ledger.failLocked("UNASKED: %s run %d began %.3f s after the cancel of its job was acknowledged", r.task, r.run, since.Seconds())
			}
		}
	}
}
