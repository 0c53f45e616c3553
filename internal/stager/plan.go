package stager

import "time"

// stage is a part of a roll-out.
type stage uint8

// The stages.
const (
	// waiting is before the version has targets, and until the store has the status.
	waiting stage = iota
	// trickling exposes a few requests while the targets are still cold.
	trickling
	// sampling gathers evidence within the budget.
	sampling
	// partial and larger shift a part of the requests to as many targets as that part
	// loads fully, so that a fault under load shows early.
	partial
	larger
	// At the end of larger, all requests go to the new version for a moment, at all nodes
	// at once: a fault that begins with the whole is found at a fraction of its exposure.
	// whole sends all requests to the new version until none is left at the old one.
	whole
	ended
)

var stageNames = [...]string{"waiting", "trickling", "sampling", "partial", "larger", "whole", "ended"}

// String returns the name used in logs.
func (s stage) String() string { return stageNames[min(s, ended)] }

// The parts of the bounds on exposure that the first stages may use, and the shares, in
// thousandths, of the later ones. At 12 s and the default bounds 1.2 s of all requests and
// 50 may be exposed. Sampling takes about a quarter of a second and 25 requests, the two
// shares 0.3 s, the pulse 0.3 s and the time until its reports 0.1 s.
const (
	trickleShare  = 0.2
	trickleSlack  = 0.1
	samplingShare = 0.5
	samplingSlack = 0.5
	// manySamples is the number of samples beyond which their rate falls to that of the
	// trickle: more would only use up the budget of the later steps.
	manySamples = 150

	partialShare = 150
	largerShare  = 300
	// minTrialTargets is the least number of targets on trial, so that one bad target is
	// told from a bad version.
	minTrialTargets = 3
)

const (
	// endMargin is left between the planned end and the time limit, for slow calls of the
	// store and a change of the root; it is limit/endMarginDivisor if that is more, but
	// not more than a quarter of the limit.
	endMargin        = 1500 * time.Millisecond
	endMarginDivisor = 8
	// lastCall is when the decision is taken with the evidence there is: the write may
	// take a second.
	lastCall = 1100 * time.Millisecond
	// minDwell is how long a step is watched at least: a report and an answer take up to
	// four intervals of 200 ms, half of that on average.
	minDwell       = 500 * time.Millisecond
	dwellIntervals = 2.5
	pulseTime      = 450 * time.Millisecond
	minWholeTime   = 1500 * time.Millisecond
	wholeIntervals = 7.5
	// pulseTail is how long answers to the requests of a pulse are awaited in addition to
	// the time of reports.
	pulseTail = 200 * time.Millisecond
	// coldLimit bounds the time for which targets are taken to be cold.
	coldLimit = 4 * time.Second
	// coldTail is how long answers still come that began on cold targets.
	coldTail = 500 * time.Millisecond
	// drainTime is how long the end waits for requests in flight at old targets.
	drainTime = 2 * time.Second
)

// plan is the schedule of a roll-out, as times since the order.
type plan struct {
	shift time.Duration
	dwell time.Duration
	// larger is how long the stage of that name lasts, with the pulse and the reports on
	// it, and whole the least time of the last one.
	larger time.Duration
	whole  time.Duration
	// last is when the decision is taken with the evidence there is.
	last time.Duration
}

// planFor returns the schedule for a time limit and an interval of reports. The shift
// begins as late as it can: a version may turn bad late, and waiting costs nothing.
func planFor(limit, interval time.Duration) plan {
	margin := min(max(endMargin, limit/endMarginDivisor), limit/4)
	dwell := min(max(minDwell, time.Duration(dwellIntervals*float64(interval))), limit/10)
	all := min(max(minWholeTime, time.Duration(wholeIntervals*float64(interval))), limit/3)
	second := 2*dwell + pulseTime + pulseTail
	return plan{
		shift:  max(limit-margin-dwell-second-all, 0),
		larger: second,
		dwell:  dwell,
		whole:  all,
		last:   limit - min(lastCall, limit/6),
	}
}
