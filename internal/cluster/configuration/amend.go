package configuration

import (
	"strconv"

	"github.com/juju/errors"
	"github.com/mailru/easyjson"
	"github.com/tidwall/sjson"
)

// ErrNoRollout tells that a configuration has no rollout of a name.
const ErrNoRollout = errors.ConstError("there is no such rollout")

// Amendment changes the text of a configuration and leaves all else in it as its operator wrote it, also fields that this program doesn't
// know. The first error ends it.
type Amendment struct {
	decoded *Configuration
	body    []byte
	err     error
}

// Amend begins the change of a configuration; the result has the number after the current one.
func Amend(body []byte) *Amendment {
	decoded, err := Read(body)
	if err != nil {
		return &Amendment{body: body, err: err}
	}
	return AmendDecoded(decoded, body)
}

// AmendDecoded is Amend for a text that was read already; what was read of it is not changed.
func AmendDecoded(decoded *Configuration, body []byte) *Amendment {
	amendment := &Amendment{decoded: decoded, body: body}
	amendment.set("config-version", strconv.FormatInt(decoded.Version+1, 10))
	return amendment
}

// set sets a field to a JSON text.
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

func (a *Amendment) setText(path, value string) { a.set(path, strconv.Quote(value)) }

// AddRollout adds a rollout at the end of the list.
func (a *Amendment) AddRollout(rollout *Rollout) *Amendment {
	text, err := easyjson.Marshal(rollout)
	if err != nil && a.err == nil {
		a.err = err
	}
	a.set("rollout-list.-1", string(text))
	return a
}

// Rollout gives the rollout of a name as it was before the change, nil if there is none.
func (a *Amendment) Rollout(name string) *Rollout {
	if index := a.indexOf(name); index >= 0 {
		return &a.decoded.Rollouts[index]
	}
	return nil
}

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

// RolloutProgress is what changes of a rollout as it goes on.
type RolloutProgress struct {
	State                RolloutState
	Step                 int
	BegunMs, StepBegunMs int64
	StepJobs             int64
	Reason               string
}

// Progress is how far a rollout is.
func (r *Rollout) Progress() RolloutProgress {
	return RolloutProgress{State: r.State, Step: r.Step, BegunMs: r.BegunMs, StepBegunMs: r.StepBegunMs, StepJobs: r.StepJobs, Reason: r.Reason}
}

// SetProgress takes down how far the rollout is.
func (r *Rollout) SetProgress(progress RolloutProgress) {
	r.State, r.Step, r.BegunMs, r.StepBegunMs = progress.State, progress.Step, progress.BegunMs, progress.StepBegunMs
	r.StepJobs, r.Reason = progress.StepJobs, progress.Reason
}

// SetProgress writes how far a rollout is. One that is finished leads its route to the new version.
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
		a.leadRoute(a.decoded.Rollouts[index].Route, a.decoded.Rollouts[index].To)
	}
	return a
}

// leadRoute leads a route to a service.
func (a *Amendment) leadRoute(name, service string) {
	for index, route := range a.decoded.Routes {
		if route.Name == name {
			a.setText("route-list."+strconv.Itoa(index)+".service", service)
		}
	}
}

// Body gives the changed text; the error tells what is wrong with it.
func (a *Amendment) Body() ([]byte, error) {
	if a.err != nil {
		return nil, a.err
	}
	if _, err := Read(a.body); err != nil {
		return nil, err
	}
	return a.body, nil
}

// Base is the version that the change builds on.
func (a *Amendment) Base() int64 {
	if a.decoded == nil {
		return 0
	}
	return a.decoded.Version
}
