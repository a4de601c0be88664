package rehearsal

import (
	"bytes"
	"encoding/json"
	"io"
	"os"
	"time"

	"github.com/juju/errors"
	"go.yaml.in/yaml/v3"

	"gannetline/internal/cluster/configuration"
)

// The services of the two versions in a rehearsal.
const (
	versionOld = "board"
	versionNew = "board-next"
)

// Behaviour is the assumed behaviour of the new version.
type Behaviour struct {
	// FailureShare is the share of its runs that fail, from 0 to 1. RunTimeFactor is the factor by which its runs take longer; LoadRollout
	// replaces 0 by 1.
	FailureShare  float64 `yaml:"fails"`
	RunTimeFactor float64 `yaml:"run-time-factor"`
	// FromS is how many seconds after the start of the rollout this behaviour begins. Before, runs are as recorded.
	FromS float64 `yaml:"from-s"`
}

// RolloutStep is one step of a rollout: the share of the queue's jobs that the new version gets, from 0 to 1. The next step follows once the
// step has lasted MinTimeS seconds and MinJobs jobs of the new version have ended in it.
type RolloutStep struct {
	Share    float64 `yaml:"share"`
	MinTimeS float64 `yaml:"min-time-s"`
	MinJobs  int64   `yaml:"min-jobs"`
}

// RolloutBounds are the bounds within which the new version must stay. The fields are those of configuration.RolloutBounds.
type RolloutBounds struct {
	Failures      float64 `yaml:"failures"`
	Late          float64 `yaml:"late"`
	RunTimeFactor float64 `yaml:"run-time-factor"`
	FalseAlarm    float64 `yaml:"false-alarm"`
	MinJobs       int64   `yaml:"min-jobs"`
}

// Rollout describes a rollout to rehearse: a queue's jobs move step by step from its current version to a new one.
type Rollout struct {
	// Queue is the name of the recorded queue. AtS is how many seconds after the first event the rollout starts.
	Queue string  `yaml:"queue"`
	AtS   float64 `yaml:"at-s"`
	// Executors is the number of executors of the new version, as a share of the recorded executors from 0 to 1.
	Executors  float64       `yaml:"executors"`
	Steps      []RolloutStep `yaml:"steps"`
	Bounds     RolloutBounds `yaml:"agreed"`
	OnRollback string        `yaml:"on-turn-back"`
	// IsRepeatable is set if the queue's jobs may run more than once, so that a rollback may stop their runs.
	IsRepeatable bool      `yaml:"repeatable"`
	NewVersion   Behaviour `yaml:"new-version"`
}

// LoadRollout reads a rollout from a YAML file. The error for an unknown field or a value out of range names the field.
func LoadRollout(path string) (*Rollout, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Annotate(err, "reading the rollout")
	}
	loaded := &Rollout{Executors: 1}
	decoder := yaml.NewDecoder(bytes.NewReader(text))
	decoder.KnownFields(true)
	if err := decoder.Decode(loaded); err != nil && !errors.Is(err, io.EOF) {
		return nil, errors.Annotate(err, path)
	}
	if loaded.NewVersion.RunTimeFactor == 0 {
		loaded.NewVersion.RunTimeFactor = 1
	}
	return loaded, errors.Annotate(loaded.check(), path)
}

func (r *Rollout) check() error {
	for _, err := range []error{
		checkRange("at-s", &r.AtS, 0, 86400), checkRange("executors", &r.Executors, 0.01, 1), checkRange("new-version.fails", &r.NewVersion.FailureShare, 0, 1),
		checkRange("new-version.run-time-factor", &r.NewVersion.RunTimeFactor, 0.01, 1000), checkRange("new-version.from-s", &r.NewVersion.FromS, 0, 86400)} {
		if err != nil {
			return err
		}
	}
	if r.Queue == "" {
		return errors.New("field queue is empty")
	}
	// All other fields are checked by the rules of the configuration leader.
	text, err := json.Marshal(configuration.Configuration{Version: 1, Rollouts: []configuration.Rollout{r.toConfiguration()},
		Services: []configuration.Service{{Name: versionOld}, {Name: versionNew}},
		Routes:   []configuration.Route{{Name: r.Queue, Host: rehearsalHost, TimeoutMs: 1, Service: versionOld}}})
	if err != nil {
		return err
	}
	_, err = configuration.Read(text)
	return err
}

// rehearsalHost is the host of the queue's route in a rehearsal.
const rehearsalHost = "rehearsal"

// routeType returns the type of the queue's route.
func (r *Rollout) routeType() string {
	if r.IsRepeatable {
		return configuration.RouteIdempotent
	}
	return ""
}

// toConfiguration returns the rollout as an entry of a configuration.
func (r *Rollout) toConfiguration() configuration.Rollout {
	rollout := configuration.Rollout{Name: "rehearsed", Route: r.Queue, From: versionOld, To: versionNew, OnRollback: r.OnRollback,
		Bounds: configuration.RolloutBounds(r.Bounds)}
	for _, step := range r.Steps {
		rollout.Steps = append(rollout.Steps, configuration.RolloutStep(step))
	}
	return rollout
}

// RolloutSample is the progress of a rollout at one time. AtS is in seconds since the first event.
type RolloutSample struct {
	AtS   float64 `json:"at-s"`
	State string  `json:"state"`
	Share float64 `json:"share"`
	// For each version, Ended counts the jobs that completed or failed, Failed those that failed, and Overdue the unfinished ones that
	// have missed their target without having lost a run.
	OldEnded   int64  `json:"old-ended"`
	OldFailed  int64  `json:"old-failed"`
	OldOverdue int64  `json:"old-overdue"`
	NewEnded   int64  `json:"new-ended"`
	NewFailed  int64  `json:"new-failed"`
	NewOverdue int64  `json:"new-overdue"`
	Reason     string `json:"reason,omitempty"`
}

// at returns the time of a sample as a duration since the first event.
func (s *RolloutSample) at() time.Duration { return time.Duration(s.AtS * float64(time.Second)) }
