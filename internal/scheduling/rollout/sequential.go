package rollout

import (
	"math"

	"gonum.org/v1/gonum/mathext"
)

// logEvidence returns the logarithm of an e-value against the hypothesis that an outcome is bad with a probability of at most bound. The
// e-value is the likelihood of the outcomes under a mixture of all probabilities above the bound, divided by their likelihood at the bound.
// If the hypothesis holds, the probability that the result ever reaches log(1/a) is at most a (Ville's inequality), however often the
// result is computed. This limits the rate of false alarms. The result is 0 while the share of bad outcomes is at most the bound.
//
// The mixture is uniform from the bound to 1. So a version that always fails is detected after a few jobs, and a version that fails just
// more often than the bound after many.
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

// smallestBound is used instead of smaller bounds. With a bound of 0, a single bad outcome would be infinite evidence.
const smallestBound = 1e-4

// alarmLevel returns the logarithm of the evidence from which on a verdict in a window counts as proved. Windows are numbered from 1. The
// permitted probability of a false alarm is divided among all aspects and the endless sequence of windows: window k gets 6/(pi k)^2 of it.
func alarmLevel(falseAlarm float64, aspects, window int) float64 {
	perWindow := falseAlarm * 6 / (math.Pi * math.Pi * float64(window) * float64(window))
	return math.Log(float64(max(1, aspects)) / perWindow)
}

// baselineRate returns an upper confidence limit for the rate of bad outcomes of the old version: the observed rate plus standardErrors
// standard errors, because a rate over few outcomes is uncertain. It uses the first candidate with at least minBaseline outcomes. If no
// candidate has that many, it returns 0, so that the new version is judged by the rollout's bounds alone.
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
	// minBaseline is how many outcomes of the old version are needed for a comparison.
	minBaseline = 20
	// standardErrors gives a one-sided confidence of 95% under the normal distribution.
	standardErrors = 1.64
)
