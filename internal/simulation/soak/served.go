package soak

import (
	"fmt"
	"net/http"
	"slices"
)

// mix returns the mix of the history, or defaultMix if Mix is nil.
func (h *History) mix() *Mix {
	if h.Mix == nil {
		return defaultMix()
	}
	return h.Mix
}

// unservedFeatures is OracleServed: it checks that jobs, configurations and each feature of the mix were used with success. It
// checks nothing if the options name no mix.
func unservedFeatures(h *History) []Violation {
	if h.Mix == nil {
		return nil
	}
	var violations []Violation
	require := func(isServed bool, missing string) {
		if !isServed {
			violations = append(violations, Violation{Oracle: OracleServed, Text: fmt.Sprintf("no %s, with the features %v", missing, h.Mix.Features)})
		}
	}
	completed := 0
	for _, state := range h.FinalStates {
		if state == "completed" {
			completed++
		}
	}
	require(completed > 0, "job was completed")
	require(len(h.Acknowledgements) > 0, "configuration was acknowledged")
	for _, feature := range h.Mix.Features {
		switch feature {
		case FeatureTenants:
			require(slices.ContainsFunc(h.KeyProbes, func(probe KeyProbe) bool { return probe.Status == http.StatusUnauthorized }), "unknown key was refused")
		case FeatureEvacuations:
			require(len(h.Evacuations) > 0, "evacuation was acknowledged")
		case FeatureLocks:
			require(len(h.Applications.Holds) > 0, "lock was taken")
		case FeatureMoves:
			require(h.hasMoved(), "move of the queue was acknowledged")
		case FeatureTier:
			require(slices.ContainsFunc(h.Streams, func(call StreamCall) bool { return call.isWhole() }), "stream was served")
			require(len(h.Lots) > 0, "lot was accepted")
		}
	}
	return violations
}
