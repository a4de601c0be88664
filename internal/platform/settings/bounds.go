package settings

import (
	"slices"

	"go.yaml.in/yaml/v3"
)

// Bounds holds the time limits and factors of the protocol. Fields with the suffix Ms are in milliseconds, those with S in seconds. Some bounds
// are decoded, but gannetline does not use their values. For a renamed bound the tag holds the earlier name. A settings file may use either
// name.
type Bounds struct {
	ContactWindowMs int64   `yaml:"contact-window-ms"`
	AckTimeoutMs    int64   `yaml:"ack-timeout-ms"`
	CatchUpS        float64 `yaml:"catch-up-s"`
	DrainTimeoutMs  int64   `yaml:"drain-timeout-ms"`
	GracePeriodS    float64 `yaml:"grace-period-s"`
	ConfigApplyMs   int64   `yaml:"config-apply-ms"`
	MaxHoldMs       int64   `yaml:"max-hold-ms"`
	StopTimeoutMs   int64   `yaml:"stop-timeout-ms"`
	GangWaitMs      int64   `yaml:"gang-wait-ms"`
	EarlyMs         int64   `yaml:"early_ms"`
	StatusS         float64 `yaml:"status_s"`
	// RemoteFactor is the factor by which a task takes longer on an executor that is remote from its data.
	RemoteFactor        float64 `yaml:"remote-factor"`
	CheckpointIntervalS float64 `yaml:"checkpoint-interval-s"`
	RestoreTimeMs       int64   `yaml:"restore-time-ms"`
	// RevokeTimeoutMs is the time after the revocation of an API key during which requests with the key may still be run.
	RevokeTimeoutMs int64 `yaml:"revoke-timeout-ms"`
	// RevocationClosed makes RevokeTimeoutMs apply also to processes that are cut off by a network partition.
	RevocationClosed bool `yaml:"revocation-closed"`
	// QuotaWindowS is the time window over which the requests of a tenant are counted.
	QuotaWindowS float64 `yaml:"quota-window-s"`
	// QuotaOverrun is the fraction of a quota by which a tenant may exceed it.
	QuotaOverrun float64 `yaml:"quota-overrun"`
	// HistoryS is the time after the receipt of a revision during which a watcher of cells can continue from it.
	HistoryS float64 `yaml:"history-s"`
	// ReleaseMs is the time after the end of a holder's hold time during which a lock may still be refused to others.
	ReleaseMs int64 `yaml:"release-ms"`
	// EvacuationMs is the time after the acknowledgement of an evacuation during which work may still be started in its zone.
	EvacuationMs int64 `yaml:"evacuation-ms"`
	// Unknown lists the bounds of the file that are neither fields of Bounds nor in ignoredBounds.
	Unknown []string `yaml:"-"`
}

// earlierNames maps the newer names of renamed bounds to the earlier ones, which the tags of Bounds hold.
var earlierNames = map[string]string{
	"early-margin-ms":    "early_ms",
	"status-retention-s": "status_s",
}

// ignoredBounds lists bounds that gannetline doesn't decode, because it meets them by other means or because they don't concern its roles.
// For example, the readmission of an executor doesn't depend on seed-delay-s, because the system keeps its own list of executors.
var ignoredBounds = []string{
	"seed-delay-s", "address-reuse-s", "loss-slack-ms", "downgrade-slack-ms", "max-stretch-ms", "recovery-time-s", "quota-slack",
	"cancel_ms", "visible_ms", "finish_s", "cancel-timeout-ms", "visibility-timeout-ms", "completion-s",
	"pass_ms", "again_s", "settle-time-ms", "cold-overrun", "cold-slack",
}

// boundFields has the fields of Bounds without its method UnmarshalYAML, which would call itself when it decodes them.
type boundFields Bounds

// boundNames lists the names in the tags of Bounds.
var boundNames = []string{
	"contact-window-ms", "ack-timeout-ms", "catch-up-s", "drain-timeout-ms", "grace-period-s", "config-apply-ms", "max-hold-ms",
	"stop-timeout-ms", "gang-wait-ms", "early_ms", "status_s", "remote-factor", "checkpoint-interval-s", "restore-time-ms",
	"revoke-timeout-ms", "revocation-closed", "quota-window-s", "quota-overrun", "history-s", "release-ms", "evacuation-ms",
}

// UnmarshalYAML reads bounds under their newer and their earlier names, and collects unknown names in Unknown. If a file has a bound under
// both names, the newer name takes precedence.
func (b *Bounds) UnmarshalYAML(node *yaml.Node) error {
	if node.Kind != yaml.MappingNode {
		return node.Decode((*boundFields)(b))
	}
	translated := *node
	translated.Content = nil
	var unknown []string
	for index := 0; index+1 < len(node.Content); index += 2 {
		name := *node.Content[index]
		if hasNewerName(node, name.Value) {
			continue
		}
		if earlier, isRenamed := earlierNames[name.Value]; isRenamed {
			name.Value = earlier
		}
		if !slices.Contains(boundNames, name.Value) && !slices.Contains(ignoredBounds, name.Value) {
			unknown = append(unknown, name.Value)
		}
		translated.Content = append(translated.Content, &name, node.Content[index+1])
	}
	if err := translated.Decode((*boundFields)(b)); err != nil {
		return err
	}
	b.Unknown = unknown
	return nil
}

// hasNewerName reports whether name is the earlier name of a bound that the mapping also holds under its newer name.
func hasNewerName(mapping *yaml.Node, name string) bool {
	for index := 0; index < len(mapping.Content); index += 2 {
		if earlierNames[mapping.Content[index].Value] == name {
			return true
		}
	}
	return false
}
