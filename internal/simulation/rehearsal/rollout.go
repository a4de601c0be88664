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

// Behaviour is how the new version is supposed to fare.
type Behaviour struct {
	// Fails is the share of its runs that fail, from 0 to 1; RunTimeFactor is how many times as long they take.
	Fails         float64 `yaml:"fails"`
	RunTimeFactor float64 `yaml:"run-time-factor"`
	// FromS is how many seconds after the rollout has begun it fares so; before that it behaves.
	FromS float64 `yaml:"from-s"`
}

// RolloutStep is a share of the queue's jobs, as the file names it.
type RolloutStep struct {
	Share    float64 `yaml:"share"`
	MinTimeS float64 `yaml:"min-time-s"`
	MinJobs  int64   `yaml:"min-jobs"`
}

// RolloutAgreement is what was agreed on, as the file names it.
type RolloutAgreement struct {
	Failures      float64 `yaml:"failures"`
	Late          float64 `yaml:"late"`
	RunTimeFactor float64 `yaml:"run-time-factor"`
	FalseAlarm    float64 `yaml:"false-alarm"`
	MinJobs       int64   `yaml:"min-jobs"`
}

// Rollout is a rollout that is to be rehearsed.
type Rollout struct {
	// Queue is the name of the recorded queue; AtS is how many seconds after the first event it begins.
	Queue string  `yaml:"queue"`
	AtS   float64 `yaml:"at-s"`
	// Executors is for how many of the recorded executors, from 0 to 1, there is another that runs the new version.
	Executors  float64          `yaml:"executors"`
	Steps      []RolloutStep    `yaml:"steps"`
	Agreed     RolloutAgreement `yaml:"agreed"`
	OnTurnBack string           `yaml:"on-turn-back"`
	// IsRepeatable tells that the queue's jobs may run more than once, so that a turn back may stop their runs.
	IsRepeatable bool      `yaml:"repeatable"`
	New          Behaviour `yaml:"new-version"`
}

// LoadRollout reads a rollout; an unknown field or a value out of range is an error that names it.
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
	if loaded.New.RunTimeFactor == 0 {
		loaded.New.RunTimeFactor = 1
	}
	return loaded, errors.Annotate(loaded.check(), path)
}

func (r *Rollout) check() error {
	for _, err := range []error{
		inRange("at-s", &r.AtS, 0, 86400), inRange("executors", &r.Executors, 0.01, 1), inRange("new-version.fails", &r.New.Fails, 0, 1),
		inRange("new-version.run-time-factor", &r.New.RunTimeFactor, 0.01, 1000), inRange("new-version.from-s", &r.New.FromS, 0, 86400)} {
		if err != nil {
			return err
		}
	}
	if r.Queue == "" {
		return errors.New("field queue is empty")
	}
	// All else is checked as the configuration's leader does.
	text, err := json.Marshal(configuration.Configuration{Version: 1, Rollouts: []configuration.Rollout{r.asConfigured()},
		Services: []configuration.Service{{Name: versionOld}, {Name: versionNew}},
		Routes:   []configuration.Route{{Name: r.Queue, Host: rehearsalHost, TimeoutMs: 1, Service: versionOld}}})
	if err != nil {
		return err
	}
	_, err = configuration.Read(text)
	return err
}

// rehearsalHost is the host of the queue in a rehearsal.
const rehearsalHost = "rehearsal"

// routeType is that of the queue.
func (r *Rollout) routeType() string {
	if r.IsRepeatable {
		return configuration.RouteIdempotent
	}
	return ""
}

// asConfigured is the rollout as it stands in a configuration.
func (r *Rollout) asConfigured() configuration.Rollout {
	rollout := configuration.Rollout{Name: "rehearsed", Route: r.Queue, From: versionOld, To: versionNew, OnRollback: r.OnTurnBack,
		Bounds: configuration.RolloutBounds(r.Agreed)}
	for _, step := range r.Steps {
		rollout.Steps = append(rollout.Steps, configuration.RolloutStep(step))
	}
	return rollout
}

// RolloutSample is how a rollout stands at one moment, in seconds since the first event.
type RolloutSample struct {
	AtS   float64 `json:"at-s"`
	State string  `json:"state"`
	Share float64 `json:"share"`
	// Ended, Failed and Waiting are the jobs of either version that have ended, have failed, and have missed their target while they wait.
	OldEnded   int64  `json:"old-ended"`
	OldFailed  int64  `json:"old-failed"`
	OldWaiting int64  `json:"old-overdue"`
	NewEnded   int64  `json:"new-ended"`
	NewFailed  int64  `json:"new-failed"`
	NewWaiting int64  `json:"new-overdue"`
	Reason     string `json:"reason,omitempty"`
}

// at is when a sample was taken, as a duration.
func (s *RolloutSample) at() time.Duration { return time.Duration(s.AtS * float64(time.Second)) }
