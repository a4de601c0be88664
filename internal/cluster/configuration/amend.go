package configuration

import (
	"strconv"

	"github.com/juju/errors"
	"github.com/mailru/easyjson"
	"github.com/tidwall/sjson"
)

// ErrNoRollout is the error for the name of a rollout that a configuration doesn't have.
const ErrNoRollout = errors.ConstError("there is no such rollout")

// Amendment edits single fields in the JSON text of a configuration. The rest of the text stays as its operator wrote it, including
// fields that this program doesn't know. After an error further edits do nothing; Body returns the error.
type Amendment struct {
	decoded *Configuration
	body    []byte
	err     error
}

// Amend starts an edit of a configuration, and raises its version by 1.
func Amend(body []byte) *Amendment {
	decoded, err := Read(body)
	if err != nil {
		return &Amendment{body: body, err: err}
	}
	return AmendDecoded(decoded, body)
}

// AmendDecoded is Amend for a body that is already decoded. It doesn't modify the decoded configuration.
func AmendDecoded(decoded *Configuration, body []byte) *Amendment {
	amendment := &Amendment{decoded: decoded, body: body}
	amendment.set("config-version", strconv.FormatInt(decoded.Version+1, 10))
	return amendment
}

// set sets the field at a path in sjson syntax to a JSON value.
func (a *Amendment) set(path, text string) {
	if a.err != nil {
		return
	}
	changed, err := sjson.SetRawBytes(a.body, path, []byte(text))
	if err != nil {
		a.err = errors.Annotatef(err, "field %s", path)
		return
	}
	a.body = changed
}

// setText sets the field at a path to a string.
func (a *Amendment) setText(path, value string) { a.set(path, strconv.Quote(value)) }

// AddRollout appends a rollout to the list of rollouts.
func (a *Amendment) AddRollout(rollout *Rollout) *Amendment {
	text, err := easyjson.Marshal(rollout)
	if err != nil && a.err == nil {
		a.err = err
	}
	a.set("rollout-list.-1", string(text))
	return a
}

// Rollout returns the rollout of a name as it was before the edit, nil if there is none.
func (a *Amendment) Rollout(name string) *Rollout {
	if index := a.indexOf(name); index >= 0 {
		return &a.decoded.Rollouts[index]
	}
	return nil
}

// indexOf is the index of a rollout in the list of rollouts, -1 if there is none of the name.
func (a *Amendment) indexOf(name string) int {
	if a.decoded == nil {
		return -1
	}
	for index, rollout := range a.decoded.Rollouts {
		if rollout.Name == name {
			return index
		}
	}
	return -1
}

// RolloutProgress holds the fields of a rollout that the leader of the configuration changes; Rollout documents each.
type RolloutProgress struct {
	State                RolloutState
	Step                 int
	BegunMs, StepBegunMs int64
	StepJobs             int64
	Reason               string
}

// Progress returns a copy of the rollout's progress.
func (r *Rollout) Progress() RolloutProgress {
	return RolloutProgress{State: r.State, Step: r.Step, BegunMs: r.BegunMs, StepBegunMs: r.StepBegunMs, StepJobs: r.StepJobs, Reason: r.Reason}
}

// SetProgress overwrites the rollout's progress.
func (r *Rollout) SetProgress(progress RolloutProgress) {
	r.State, r.Step, r.BegunMs, r.StepBegunMs = progress.State, progress.Step, progress.BegunMs, progress.StepBegunMs
	r.StepJobs, r.Reason = progress.StepJobs, progress.Reason
}

// SetProgress writes a rollout's progress. If that is finished, it also switches the route to the service of the new version.
func (a *Amendment) SetProgress(name string, progress RolloutProgress) *Amendment {
	index := a.indexOf(name)
	if index < 0 {
		if a.err == nil {
			a.err = errors.Annotatef(ErrNoRollout, "%q", name)
		}
		return a
	}
	prefix := "rollout-list." + strconv.Itoa(index) + "."
	a.setText(prefix+"state", string(progress.State))
	a.set(prefix+"step", strconv.Itoa(progress.Step))
	a.set(prefix+"begun-ms", strconv.FormatInt(progress.BegunMs, 10))
	a.set(prefix+"step-begun-ms", strconv.FormatInt(progress.StepBegunMs, 10))
	a.set(prefix+"step-jobs", strconv.FormatInt(progress.StepJobs, 10))
	a.setText(prefix+"reason", progress.Reason)
	if progress.State == RolloutFinished {
		a.switchRoute(a.decoded.Rollouts[index].Route, a.decoded.Rollouts[index].To)
	}
	return a
}

// switchRoute sets the service of a route.
func (a *Amendment) switchRoute(name, service string) {
	for index, route := range a.decoded.Routes {
		if route.Name == name {
			a.setText("route-list."+strconv.Itoa(index)+".service", service)
		}
	}
}

// Body returns the edited text. It fails with the first error of an edit, or if the result isn't a valid configuration.
func (a *Amendment) Body() ([]byte, error) {
	if a.err != nil {
		return nil, a.err
	}
	if _, err := Read(a.body); err != nil {
		return nil, err
	}
	return a.body, nil
}

// Base is the version before the edit, 0 if the body couldn't be read or wasn't valid.
func (a *Amendment) Base() int64 {
	if a.decoded == nil {
		return 0
	}
	return a.decoded.Version
}
