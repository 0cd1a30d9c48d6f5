package sched

import (
	"math"
	"time"
)

const (
	// demandInterval is the least length of the intervals in which starts are counted.
	demandInterval = 500 * time.Millisecond
	// demandHalfLife is the time in which a peak of the demand counts half.
	demandHalfLife = 20 * time.Second
	// heldStartTime is the time within which tasks that the start limiter holds back should be started.
	heldStartTime = time.Second
	// specWeight is the weight of a start in the mean size of the specifications.
	specWeight = 0.01
)

// StartDemand is how many starts are asked for, whether they are sent or held back by the start limiter. Agents are provided
// by it; the rate of the starts that are answered would count what the present agents can do.
type StartDemand struct {
	Rate      float64 // starts a second; a peak decays slowly
	SpecBytes float64 // mean size of the jobs' specifications in them, in bytes
}

// startDemand measures a StartDemand.
type startDemand struct {
	intervalStart time.Time
	sent          int       // starts sent since then
	peak          float64   // starts a second at peakAt
	peakAt        time.Time // when the peak was last raised
	specBytes     float64   // mean size of the specifications of recent starts
}

// recordSent counts a start that is sent.
func (d *startDemand) recordSent(specBytes int) {
	d.sent++
	if d.specBytes == 0 {
		d.specBytes = float64(specBytes)
	}
	d.specBytes += specWeight * (float64(specBytes) - d.specBytes)
}

// update ends the current interval if it is long enough. held is how many tasks are held back.
func (d *startDemand) update(now time.Time, held int) {
	if d.intervalStart.IsZero() {
		d.intervalStart = now
	}
	elapsed := now.Sub(d.intervalStart)
	if elapsed < demandInterval {
		return
	}
	rate := float64(d.sent)/elapsed.Seconds() + float64(held)/heldStartTime.Seconds()
	if rate >= d.rate(now) {
		d.peak, d.peakAt = rate, now
	}
	d.intervalStart, d.sent = now, 0
}

// rate returns the starts a second that are asked for.
func (d *startDemand) rate(now time.Time) float64 {
	return d.peak * math.Exp2(-now.Sub(d.peakAt).Seconds()/demandHalfLife.Seconds())
}

// StartDemand returns the demand for starts.
func (c *Core) StartDemand(now time.Time) StartDemand {
	c.startDemand.update(now, c.startBacklog.held+c.startBacklog.ready)
	return StartDemand{c.startDemand.rate(now), c.startDemand.specBytes}
}
