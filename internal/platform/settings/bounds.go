package settings

import (
	"slices"

	"go.yaml.in/yaml/v3"
)

// Bounds are the figures of the protocol, in milliseconds or seconds as their names say. RemoteFactor multiplies the
// length of a task that runs away from its data. The tags hold the earlier names of bounds that were renamed; a file may use either.
type Bounds struct {
	ContactWindowMs     int64   `yaml:"contact-window-ms"`
	AckTimeoutMs        int64   `yaml:"ack-timeout-ms"`
	CatchUpS            float64 `yaml:"catch-up-s"`
	DrainTimeoutMs      int64   `yaml:"drain-timeout-ms"`
	GracePeriodS        float64 `yaml:"grace-period-s"`
	ConfigApplyMs       int64   `yaml:"config-apply-ms"`
	MaxHoldMs           int64   `yaml:"max-hold-ms"`
	StopTimeoutMs       int64   `yaml:"stop-timeout-ms"`
	GangWaitMs          int64   `yaml:"gang-wait-ms"`
	EarlyMs             int64   `yaml:"early_ms"`
	StatusS             float64 `yaml:"status_s"`
	RemoteFactor        float64 `yaml:"remote-factor"`
	CheckpointIntervalS float64 `yaml:"checkpoint-interval-s"`
	RestoreTimeMs       int64   `yaml:"restore-time-ms"`
	// RevokeTimeoutMs is how long after a key was taken away a request with it may still be run, where RevocationClosed says
	// that this holds for processes that are cut off, too.
	RevokeTimeoutMs  int64 `yaml:"revoke-timeout-ms"`
	RevocationClosed bool  `yaml:"revocation-closed"`
	// QuotaWindowS is the time over which what a tenant sends is counted; QuotaOverrun is the part of a limit by which it may be
	// exceeded.
	QuotaWindowS float64 `yaml:"quota-window-s"`
	QuotaOverrun float64 `yaml:"quota-overrun"`
	// HistoryS is how long a revision that a watcher of cells was given stays good, in seconds; ReleaseMs is how long after its holder's
	// time a lock may still be refused to others.
	HistoryS  float64 `yaml:"history-s"`
	ReleaseMs int64   `yaml:"release-ms"`
	// EvacuationMs is how long after an evacuation was acknowledged nothing may be started in its zone any more.
	EvacuationMs int64 `yaml:"evacuation-ms"`
	// Unknown names the bounds of the file that this program neither reads nor knows to be of no concern to it.
	Unknown []string `yaml:"-"`
}

// earlierNames are those of bounds that have another name in newer files.
var earlierNames = map[string]string{
	"early-margin-ms":    "early_ms",
	"status-retention-s": "status_s",
}

// unneededBounds are of no use here: what they bound is kept by other means, or is no concern of these roles. An executor's
// readmission, for one, doesn't go by seed-delay-s, as the system keeps its own list.
var unneededBounds = []string{
	"seed-delay-s", "address-reuse-s", "loss-slack-ms", "downgrade-slack-ms", "max-stretch-ms", "recovery-time-s", "quota-slack",
	"cancel_ms", "visible_ms", "finish_s", "cancel-timeout-ms", "visibility-timeout-ms", "completion-s",
	"pass_ms", "again_s", "settle-time-ms", "cold-overrun", "cold-slack",
}

// knownBounds has the fields of Bounds without its reading.
type knownBounds Bounds

// neededBounds are the names in the tags of Bounds.
var neededBounds = []string{
	"contact-window-ms", "ack-timeout-ms", "catch-up-s", "drain-timeout-ms", "grace-period-s", "config-apply-ms", "max-hold-ms",
	"stop-timeout-ms", "gang-wait-ms", "early_ms", "status_s", "remote-factor", "checkpoint-interval-s", "restore-time-ms",
	"revoke-timeout-ms", "revocation-closed", "quota-window-s", "quota-overrun", "history-s", "release-ms", "evacuation-ms",
}

// UnmarshalYAML reads bounds under their newer and their earlier names, and notes those that it doesn't know. Of a bound that
// stands under both names the newer one counts.
func (b *Bounds) UnmarshalYAML(node *yaml.Node) error {
	if node.Kind != yaml.MappingNode {
		return node.Decode((*knownBounds)(b))
	}
	renamed := *node
	renamed.Content = nil
	var unknown []string
	for index := 0; index+1 < len(node.Content); index += 2 {
		name := *node.Content[index]
		if hasNewerName(node, name.Value) {
			continue
		}
		if earlier, isRenamed := earlierNames[name.Value]; isRenamed {
			name.Value = earlier
		}
		if !slices.Contains(neededBounds, name.Value) && !slices.Contains(unneededBounds, name.Value) {
			unknown = append(unknown, name.Value)
		}
		renamed.Content = append(renamed.Content, &name, node.Content[index+1])
	}
	if err := renamed.Decode((*knownBounds)(b)); err != nil {
		return err
	}
	b.Unknown = unknown
	return nil
}

// hasNewerName tells whether the mapping also has a bound under its newer name, where this is the earlier one.
func hasNewerName(mapping *yaml.Node, name string) bool {
	for index := 0; index < len(mapping.Content); index += 2 {
		if earlierNames[mapping.Content[index].Value] == name {
			return true
		}
	}
	return false
}
