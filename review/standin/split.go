package main

import (
	"errors"
	"fmt"
	"time"
)

// Times of the case split.
const (
	splitTaskTime = 40 * time.Second // longer than the case
	splitCut      = 12 * time.Second
	splitSettle   = 5 * time.Second // before the cut
	splitAfter    = 4 * time.Second // after it
	splitJobs     = 3
	splitTasks    = 6 // of each job
)

func init() { cases["split"] = playSplit }

// playSplit plays a cut between two regions. The holder's region has two of the three zones, and with them six of the nine
// hosts; the other one has the third zone and the platform's store.
func playSplit(rec *record, trouble bool) ([]string, error) {
	d, err := newDeployment(rec, []string{"a", "a", "a", "b", "b", "b", "c", "c", "c"}, 6, "store", func(string) time.Duration { return splitTaskTime })
	if d != nil {
		defer d.stop()
	}
	if err != nil {
		return nil, err
	}
	for n := range splitJobs {
		id := fmt.Sprintf("5c0e7a21d94b36%02x", n)
		if !d.submit(1+3*n, id, []step{{Count: splitTasks, CPU: 4000, MemMb: 8000, EstimateMs: splitTaskTime.Milliseconds()}}) {
			return nil, errors.New("a job wasn't accepted before the trouble")
		}
	}
	time.Sleep(splitSettle)
	for n := range splitJobs {
		if begun, _ := d.ledger.count(fmt.Sprintf("5c0e7a21d94b36%02x", n)); begun != splitTasks {
			return nil, fmt.Errorf("%d tasks of a job run before the trouble, want %d", begun, splitTasks)
		}
	}
	h := d.holder()
	if h == 0 {
		return nil, errors.New("no host calls the runners")
	}
	zones := []string{"a", "b", "c"}
	for i, zone := range zones {
		if zone == d.zones[h] {
			d.net.split([]string{zone, zones[(i+1)%3]}, []string{zones[(i+2)%3], "store"})
			rec.add("host %d calls the runners; region 1: zones %s and %s; region 2: zone %s and the store", h, zone, zones[(i+1)%3], zones[(i+2)%3])
		}
	}
	if trouble {
		rec.add("the regions lose each other for %v", splitCut)
		d.net.setCut(true)
	}
	time.Sleep(splitCut)
	if trouble {
		d.net.setCut(false)
		rec.add("the regions reach each other again")
	}
	time.Sleep(splitAfter)
	return d.ledger.twice(rec), nil
}
