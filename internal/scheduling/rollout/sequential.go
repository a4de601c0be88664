package rollout

import (
	"math"

	"gonum.org/v1/gonum/mathext"
)

// logEvidence is the logarithm of an e-value against the hypothesis that outcomes are bad with a chance of at most bound: how much likelier
// the outcomes are if the chance is any above the bound, all of them alike, than if it is the bound. While the hypothesis holds it reaches
// log(1/a) at any time with a chance of at most a (Ville's inequality), however often one looks: that is the bound of false alarms.
//
// The alternatives are weighed evenly from the bound to 1, so that a version that always fails is found after a few jobs, and one just over
// the bound after many.
func logEvidence(counted trials, bound float64) float64 {
	if counted.total == 0 || bound >= 1 || counted.rate() <= bound {
		return 0
	}
	bound = max(bound, smallestBound)
	bad, good := float64(counted.bad), float64(counted.total-counted.bad)
	above := 1 - mathext.RegIncBeta(bad+1, good+1, bound)
	if above <= 0 {
		return 0
	}
	return mathext.Lbeta(bad+1, good+1) + math.Log(above) - math.Log(1-bound) - bad*math.Log(bound) - good*math.Log(1-bound)
}

// smallestBound stands for a bound of 0, under which a single bad outcome would prove everything.
const smallestBound = 1e-4

// alarmLevel is the evidence from which on a version counts as proved bad in the window of a number, from 1: the chance of a false alarm is
// divided among all aspects and all windows there may ever be, the k-th of which gets a share of 6/(pi k)^2.
func alarmLevel(falseAlarm float64, aspects, window int) float64 {
	perWindow := falseAlarm * 6 / (math.Pi * math.Pi * float64(window) * float64(window))
	return math.Log(float64(max(1, aspects)) / perWindow)
}

// baselineRate is the rate of bad outcomes of the old version, with what chance may hide of it: of few outcomes it is not known well. It is
// that of the first trials of the list that are at least minBaseline; without any it is 0, so that the new version is judged by what was
// agreed alone.
func baselineRate(candidates ...trials) float64 {
	for _, counted := range candidates {
		if counted.total >= minBaseline {
			rate := counted.rate()
			return min(1, rate+standardErrors*math.Sqrt(rate*(1-rate)/float64(counted.total)))
		}
	}
	return 0
}

const (
	minBaseline    = 20
	standardErrors = 1.64
)
