package rolloutmodel

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/mailru/easyjson"

	"gannetline/internal/cluster/configuration"
	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/control/configleader"
	"gannetline/internal/control/rollouts"
	"gannetline/internal/platform/logging"
	"gannetline/internal/simulation/modelcheck"
	"gannetline/internal/simulation/modelcheck/simkey"
)

const (
	statusOK          = http.StatusOK
	queueHost         = "h.example"
	queuePrefix       = "/q/"
	queueName         = "q"
	reconcileInterval = 500 * time.Millisecond
	// maxAttempts is how often a task may fail.
	maxAttempts = 4
)

// modelControl is the leader of the configuration with its controller of rollouts, one after the other.
type modelControl struct {
	cluster    *simCluster
	key        *simkey.Key
	leader     *configleader.Leader
	controller *rollouts.Controller
	// losesNext ends the leadership within the next change, which lasts or not.
	losesNext bool
	// ended are the rollouts that were seen over; share is the largest share that each version ever had in a rollout, by its name.
	ended  map[string]configuration.RolloutState
	shares map[string]float64
	// closedAt is when new jobs ceased to go to a service, open the services that they may go to now.
	closedAt map[string]time.Duration
	isOpen   map[string]bool
	drawn    int
	// duringReconcile are orders that come while the controller judges, between its reading of the configuration and its change.
	duringReconcile []modelcheck.Step
}

func newModelControl(c *simCluster) *modelControl {
	return &modelControl{cluster: c, key: simkey.New(c.queue, c.coverage), ended: map[string]configuration.RolloutState{}, shares: map[string]float64{},
		closedAt: map[string]time.Duration{}, isOpen: map[string]bool{}}
}

// controlLeadership commits at once, unless the leadership is lost meanwhile.
type controlLeadership struct {
	control *modelControl
	epoch   uint64
}

// HasLease is true until the leadership is over.
func (l *controlLeadership) HasLease() bool { return l.control.key.Epoch == l.epoch }

// Voters are the disks that vote on the key.
func (l *controlLeadership) Voters() []string { return []string{"d"} }

// WallMs is the time of day.
func (l *controlLeadership) WallMs() int64 { return l.control.cluster.queue.Clock.WallMs() }

// Commit makes a change durable.
func (l *controlLeadership) Commit(ops []wire.Op, done func(error)) {
	control := l.control
	if !l.HasLease() {
		done(errLost)
		return
	}
	if control.losesNext {
		control.losesNext = false
		if control.cluster.queue.Draw.IntN(2) == 0 {
			control.cluster.coverage["change_lasts_unknown"]++
			control.key.Apply(ops)
		}
		control.key.Epoch++
		control.cluster.queue.After(0, control.kill)
		done(errLost)
		return
	}
	control.key.Apply(ops)
	done(nil)
}

// open lets the next leader take the configuration over.
func (m *modelControl) open() {
	m.leader = configleader.New(logging.Silent(), m.published)
	if err := m.leader.Open(&controlLeadership{m, m.key.Epoch}, m.key.Pairs("")); err != nil {
		m.cluster.violate("CONFIG", "the configuration can't be taken over: %v", err)
	}
	m.controller = rollouts.New(rollouts.Dependencies{Clock: m.cluster.queue.Clock, Log: logging.Silent(), HasRollouts: func() bool { return true },
		Execute: m.execute, Report: m.report})
}

// report is what a pool has told last. Orders that come meanwhile are carried out first.
func (m *modelControl) report(_ context.Context, service string) *wire.RolloutReport {
	orders := m.duringReconcile
	m.duringReconcile = nil
	for _, step := range orders {
		m.cluster.coverage["order_during_look"]++
		m.carryOut(step)
	}
	return m.cluster.poolOf(service).report
}

// kill ends the leadership; the next leader has a controller of its own.
func (m *modelControl) kill() {
	m.key.Epoch++
	m.open()
}

// execute runs a command of the controller.
func (m *modelControl) execute(_ context.Context, call *wire.ClientCall) (*wire.ClientAnswer, error) {
	if m.cluster.fault == faultOperatorOverwritten && call.Verb == wire.VerbReplace {
		call.Base, call.Body = m.onTop(call.Body)
	}
	given := m.ask(call)
	return &given, nil
}

// ask runs a command on the leader.
func (m *modelControl) ask(call *wire.ClientCall) (given wire.ClientAnswer) {
	take := func(answer wire.ClientAnswer) { given = answer }
	if call.Verb == wire.VerbRetrieve {
		m.leader.Retrieve(take)
	} else {
		m.leader.Replace(call, take)
	}
	return given
}

// reconcileForEver lets the controller judge the rollouts again and again.
func (m *modelControl) reconcileForEver() {
	m.controller.Reconcile(context.Background())
	m.cluster.queue.After(reconcileInterval, m.reconcileForEver)
}

// bootstrap brings the first configuration.
func (m *modelControl) bootstrap() {
	var services []string
	for number := range versionCount {
		services = append(services, fmt.Sprintf(`{"name":%q}`, serviceOf(number)))
	}
	body := fmt.Sprintf(`{"config-version":1,"route-list":[{"name":%q,"host":%q,"path-prefix":%q,"timeout-ms":3000,"service":%q,"max-attempts":%d,"target-latency-ms":60000}],"service-list":[%s]}`,
		queueName, queueHost, queuePrefix, serviceOf(0), maxAttempts, strings.Join(services, ","))
	m.ask(&wire.ClientCall{Verb: wire.VerbReplace, Body: []byte(body)})
}

// current is the configuration in force; nil while nobody leads it.
func (m *modelControl) current() (*configuration.Configuration, []byte) {
	given := m.ask(&wire.ClientCall{Verb: wire.VerbRetrieve})
	if given.Status != statusOK {
		return nil, nil
	}
	decoded, err := configuration.Read(given.Body)
	if err != nil {
		return nil, nil
	}
	return decoded, given.Body
}

// order has an operator's order come now, or while the controller judges a rollout.
func (m *modelControl) order(step modelcheck.Step) {
	decoded, _ := m.current()
	if decoded != nil && configuration.NewMatcher(decoded).Rollout(queueName) != nil && m.cluster.queue.Draw.IntN(2) == 0 {
		m.duringReconcile = append(m.duringReconcile, step)
		return
	}
	m.carryOut(step)
}

// carryOut carries out an order, as far as it fits the configuration in force.
func (m *modelControl) carryOut(step modelcheck.Step) {
	decoded, body := m.current()
	if decoded == nil {
		return
	}
	amendment := configuration.Amend(body)
	underWay := configuration.NewMatcher(decoded).Rollout(queueName)
	switch {
	case step.Kind == kindRollout && underWay == nil && serviceOf(step.Node) != decoded.Routes[0].Service:
		m.drawn++
		m.cluster.pools[step.Node].isBad = step.Value == 1
		amendment.AddRollout(&configuration.Rollout{Name: fmt.Sprintf("r%d", m.drawn), Route: queueName, From: decoded.Routes[0].Service, To: serviceOf(step.Node),
			Steps:  []configuration.RolloutStep{{Share: 0.3, MinTimeS: 1, MinJobs: 3}, {Share: 0.7, MinTimeS: 1, MinJobs: 3}, {Share: 1, MinTimeS: 1, MinJobs: 3}},
			Bounds: configuration.RolloutBounds{Failures: 0.1, MinJobs: 3}, OnRollback: []string{"", configuration.RollbackStop}[step.Node%2]})
	case step.Kind == kindMove && underWay == nil:
		body = []byte(strings.Replace(string(body), `"service":"`+decoded.Routes[0].Service+`"`, `"service":"`+serviceOf(step.Node)+`"`, 1))
		amendment = configuration.Amend(body)
	case step.Kind == kindPostOver && underWay != nil:
		body = []byte(string(body[:strings.Index(string(body), `,"rollout-list"`)]) + "}")
		amendment = configuration.Amend(body)
	case underWay == nil || !setState(amendment, underWay, step.Kind):
		return
	}
	changed, err := amendment.Body()
	if err != nil {
		m.cluster.violate("CONFIG", "an order can't be written: %v", err)
		return
	}
	m.ask(&wire.ClientCall{Verb: wire.VerbReplace, Base: amendment.Base(), Body: changed})
}

// setState writes an order about a rollout; it is false for one that doesn't fit.
func setState(amendment *configuration.Amendment, underWay *configuration.Rollout, kind string) bool {
	progress := underWay.Progress()
	switch {
	case kind == kindPause && progress.State == configuration.RolloutWidening:
		progress.State = configuration.RolloutPaused
	case kind == kindResume && progress.State == configuration.RolloutPaused:
		progress.State = configuration.RolloutWidening
	case kind == kindAbort && progress.State != configuration.RolloutRequested:
		progress.State = configuration.RolloutRolledBack
	default:
		return false
	}
	amendment.SetProgress(underWay.Name, progress)
	return true
}

// published spreads a committed configuration, and has the oracles look at it.
func (m *modelControl) published(committed *wire.Configuration) {
	m.cluster.spread(committed)
	decoded, err := configuration.Read(committed.Body)
	if err != nil {
		return
	}
	for number := range versionCount {
		service := serviceOf(number)
		if m.isOpen[service] && !leadsTo(decoded, service) {
			m.closedAt[service] = m.cluster.queue.Now()
		}
		m.isOpen[service] = leadsTo(decoded, service)
	}
	for _, rollout := range decoded.Rollouts {
		m.noteRollout(&rollout)
	}
}

// noteRollout is an oracle: what is over stays over, and a share grows by one step at a time.
func (m *modelControl) noteRollout(rollout *configuration.Rollout) {
	if state, isEnded := m.ended[rollout.Name]; isEnded && state != rollout.State {
		m.cluster.violate("OPERATOR", "rollout %s was %s and is %q", rollout.Name, state, rollout.State)
	}
	if _, isKnown := m.ended[rollout.Name]; !isKnown && rollout.State == configuration.RolloutRolledBack {
		m.cluster.coverage["turned_back"]++
	}
	if rollout.IsOver() {
		m.ended[rollout.Name] = rollout.State
	}
	if rollout.State == configuration.RolloutFinished {
		m.cluster.coverage["finished"]++
	}
	if rollout.State == configuration.RolloutWidening && rollout.Step > 0 {
		m.cluster.coverage["widened"]++
	}
	m.shares[rollout.Name] = max(m.shares[rollout.Name], rollout.Share())
}

func readReport(body []byte) *wire.RolloutReport {
	report := &wire.RolloutReport{}
	if easyjson.Unmarshal(body, report) != nil {
		return nil
	}
	return report
}
