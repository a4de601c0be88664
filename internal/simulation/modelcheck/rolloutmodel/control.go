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
	statusOK    = http.StatusOK
	queueHost   = "h.example"
	queuePrefix = "/q/"
	// queueName is the first name of the queue and secondName the one that it may have after a return.
	queueName         = "q"
	secondName        = "renamed"
	reconcileInterval = 500 * time.Millisecond
	// maxAttempts is how often a task may fail until its job fails.
	maxAttempts = 4
)

// modelControl is the leader of the configuration with its rollout controller. Each new leader has a new controller.
type modelControl struct {
	cluster    *simCluster
	key        *simkey.Key
	leader     *configleader.Leader
	controller *rollouts.Controller
	// losesNextChange is set if the leadership ends during the next change, which may or may not be durable then.
	losesNextChange bool
	// endStates holds the states of the rollouts that are over, and largestShares the largest share that the new version has had in
	// each rollout, both by the rollout's name.
	endStates     map[string]configuration.RolloutState
	largestShares map[string]float64
	// takesJobs holds for each service, by its name, whether it may receive new jobs now, and closedAt when it last stopped doing so.
	closedAt  map[string]time.Duration
	takesJobs map[string]bool
	// rolloutCount counts the rollouts that were started; the count is in the name of the latest one.
	rolloutCount int
	// ordersDuringReconcile are the operators' orders that arrive during the controller's next decision, after the controller has
	// read the configuration and before it changes it.
	ordersDuringReconcile []modelcheck.Step
}

func newModelControl(c *simCluster) *modelControl {
	return &modelControl{cluster: c, key: simkey.New(c.queue, c.coverage), endStates: map[string]configuration.RolloutState{}, largestShares: map[string]float64{},
		closedAt: map[string]time.Duration{}, takesJobs: map[string]bool{}}
}

// controlLeadership is a leadership of the configuration in one epoch. It commits changes at once.
type controlLeadership struct {
	control *modelControl
	epoch   uint64
}

// HasLease reports whether the leadership is not over.
func (l *controlLeadership) HasLease() bool { return l.control.key.Epoch == l.epoch }

// Voters returns the disks that vote on the key.
func (l *controlLeadership) Voters() []string { return []string{"d"} }

// WallMs returns the time of day in milliseconds.
func (l *controlLeadership) WallMs() int64 { return l.control.cluster.queue.Clock.WallMs() }

// Commit makes a change durable. If losesNextChange is set, the leadership ends instead, and it is drawn whether the change is
// durable.
func (l *controlLeadership) Commit(ops []wire.Op, done func(error)) {
	control := l.control
	if !l.HasLease() {
		done(errLeadershipLost)
		return
	}
	if control.losesNextChange {
		control.losesNextChange = false
		if control.cluster.queue.Draw.IntN(2) == 0 {
			control.cluster.coverage["change_lasts_unknown"]++
			control.key.Apply(ops)
		}
		control.key.Epoch++
		control.cluster.queue.After(0, control.kill)
		done(errLeadershipLost)
		return
	}
	control.key.Apply(ops)
	done(nil)
}

// open has a new leader take over the configuration.
func (m *modelControl) open() {
	m.leader = configleader.New(logging.Silent(), m.handleCommitted)
	if err := m.leader.Open(&controlLeadership{m, m.key.Epoch}, m.key.Pairs("")); err != nil {
		m.cluster.violate("CONFIG", "a new leader can't read the configuration: %v", err)
	}
	m.controller = rollouts.New(rollouts.Dependencies{Clock: m.cluster.queue.Clock, Log: logging.Silent(), HasRollouts: func() bool { return true },
		Execute: m.execute, Report: m.report})
}

// report returns the last report of a pool to the controller. As the controller calls it during a decision, it first carries out the
// ordersDuringReconcile.
func (m *modelControl) report(_ context.Context, service string) *wire.RolloutReport {
	orders := m.ordersDuringReconcile
	m.ordersDuringReconcile = nil
	for _, step := range orders {
		m.cluster.coverage["order_during_look"]++
		m.carryOut(step)
	}
	return m.cluster.poolOf(service).report
}

// kill ends the leadership; the next leader takes over at once, with a new controller.
func (m *modelControl) kill() {
	m.key.Epoch++
	m.open()
}

// execute handles a call of the controller to the leader. With faultOperatorOverwritten, it rebases changes of the configuration.
func (m *modelControl) execute(_ context.Context, call *wire.ClientCall) (*wire.ClientAnswer, error) {
	if m.cluster.fault == faultOperatorOverwritten && call.Verb == wire.VerbReplace {
		call.Base, call.Body = m.rebase(call.Body)
	}
	response := m.callLeader(call)
	return &response, nil
}

// callLeader calls the leader and returns its answer, which the leader gives at once.
func (m *modelControl) callLeader(call *wire.ClientCall) (response wire.ClientAnswer) {
	record := func(answer wire.ClientAnswer) { response = answer }
	if call.Verb == wire.VerbRetrieve {
		m.leader.Retrieve(record)
	} else {
		m.leader.Replace(call, record)
	}
	return response
}

// reconcileRepeatedly has the controller decide on the rollouts at intervals.
func (m *modelControl) reconcileRepeatedly() {
	m.controller.Reconcile(context.Background())
	m.cluster.queue.After(reconcileInterval, m.reconcileRepeatedly)
}

// bootstrap commits the first configuration: one queue, which goes to the first version.
func (m *modelControl) bootstrap() {
	var services []string
	for number := range versionCount {
		services = append(services, fmt.Sprintf(`{"name":%q}`, serviceOf(number)))
	}
	body := fmt.Sprintf(`{"config-version":1,"route-list":%s,"service-list":[%s]}`, routeText(queueName, 0), strings.Join(services, ","))
	m.callLeader(&wire.ClientCall{Verb: wire.VerbReplace, Body: []byte(body)})
}

// routeText returns the list of routes with the queue under a name, leading to a version.
func routeText(name string, version int) string {
	return fmt.Sprintf(`[{"name":%q,"host":%q,"path-prefix":%q,"timeout-ms":3000,"service":%q,"max-attempts":%d,"target-latency-ms":60000}]`,
		name, queueHost, queuePrefix, serviceOf(version), maxAttempts)
}

// routesIn returns the list of routes in the text of a configuration.
func routesIn(body []byte) string {
	_, rest, _ := strings.Cut(string(body), `"route-list":`)
	routes, _, _ := strings.Cut(rest, `,"service-list"`)
	return routes
}

// replaceRoutes commits the configuration with another list of routes.
func (m *modelControl) replaceRoutes(body []byte, routes, next string) {
	m.commit(configuration.Amend([]byte(strings.Replace(string(body), `"route-list":`+routes, `"route-list":`+next, 1))))
}

// commit commits an amended configuration.
func (m *modelControl) commit(amendment *configuration.Amendment) {
	changed, err := amendment.Body()
	if err != nil {
		m.cluster.violate("CONFIG", "the configuration of an operator's order can't be encoded: %v", err)
		return
	}
	m.callLeader(&wire.ClientCall{Verb: wire.VerbReplace, Base: amendment.Base(), Body: changed})
}

// rolloutOf returns the unfinished rollout of the queue, nil if there is none or no queue.
func rolloutOf(decoded *configuration.Configuration) *configuration.Rollout {
	if len(decoded.Routes) == 0 {
		return nil
	}
	return configuration.NewMatcher(decoded).Rollout(decoded.Routes[0].Name)
}

// current returns the configuration in force, decoded and as its body. Both are nil if there is none that can be read.
func (m *modelControl) current() (*configuration.Configuration, []byte) {
	response := m.callLeader(&wire.ClientCall{Verb: wire.VerbRetrieve})
	if response.Status != statusOK {
		return nil, nil
	}
	decoded, err := configuration.Read(response.Body)
	if err != nil {
		return nil, nil
	}
	return decoded, response.Body
}

// scheduleOrder carries out an operator's order. While a rollout is in progress, half of the orders are left for the controller's
// next decision; all others are carried out now.
func (m *modelControl) scheduleOrder(step modelcheck.Step) {
	decoded, _ := m.current()
	if decoded != nil && rolloutOf(decoded) != nil && m.cluster.queue.Draw.IntN(2) == 0 {
		m.ordersDuringReconcile = append(m.ordersDuringReconcile, step)
		return
	}
	m.carryOut(step)
}

// carryOut carries out an operator's order; it does nothing if the order doesn't fit the configuration in force.
func (m *modelControl) carryOut(step modelcheck.Step) {
	decoded, body := m.current()
	if decoded == nil {
		return
	}
	amendment := configuration.Amend(body)
	rollout := rolloutOf(decoded)
	if len(decoded.Routes) == 0 {
		if step.Kind == kindReturnQueue {
			m.replaceRoutes(body, "[]", routeText([]string{queueName, secondName}[step.Value], step.Node))
		}
		return
	}
	queue := decoded.Routes[0]
	switch {
	case step.Kind == kindRemoveQueue && rollout == nil:
		m.replaceRoutes(body, routesIn(body), "[]")
		return
	case step.Kind == kindRollout && rollout == nil && serviceOf(step.Node) != queue.Service:
		m.rolloutCount++
		m.cluster.pools[step.Node].isBad = step.Value == 1
		amendment.AddRollout(&configuration.Rollout{Name: fmt.Sprintf("r%d", m.rolloutCount), Route: queue.Name, From: queue.Service, To: serviceOf(step.Node),
			Steps:  []configuration.RolloutStep{{Share: 0.3, MinTimeS: 1, MinJobs: 3}, {Share: 0.7, MinTimeS: 1, MinJobs: 3}, {Share: 1, MinTimeS: 1, MinJobs: 3}},
			Bounds: configuration.RolloutBounds{Failures: 0.1, MinJobs: 3}, OnRollback: []string{"", configuration.RollbackStop}[step.Node%2]})
	case step.Kind == kindMove && rollout == nil:
		body = []byte(strings.Replace(string(body), `"service":"`+queue.Service+`"`, `"service":"`+serviceOf(step.Node)+`"`, 1))
		amendment = configuration.Amend(body)
	case step.Kind == kindRemoveRollouts && rollout != nil:
		body = []byte(string(body[:strings.Index(string(body), `,"rollout-list"`)]) + "}")
		amendment = configuration.Amend(body)
	case rollout == nil || !setProgress(amendment, rollout, step.Kind):
		return
	}
	m.commit(amendment)
}

// setProgress puts the state that an order gives to a rollout into an amendment. It returns false if the order doesn't fit the
// rollout's present state.
func setProgress(amendment *configuration.Amendment, rollout *configuration.Rollout, kind string) bool {
	progress := rollout.Progress()
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
	amendment.SetProgress(rollout.Name, progress)
	return true
}

// handleCommitted spreads a committed configuration, records which services take jobs now, and checks the rollouts.
func (m *modelControl) handleCommitted(committed *wire.Configuration) {
	m.cluster.spreadConfiguration(committed)
	decoded, err := configuration.Read(committed.Body)
	if err != nil {
		return
	}
	for number := range versionCount {
		service := serviceOf(number)
		if m.takesJobs[service] && !mayReceiveJobs(decoded, service) {
			m.closedAt[service] = m.cluster.queue.Now()
		}
		m.takesJobs[service] = mayReceiveJobs(decoded, service)
		// Jobs of a queue that was removed stay where they are, so they need executors there.
		if m.takesJobs[service] || len(decoded.Routes) == 0 {
			m.cluster.pools[number].reinstate()
		}
	}
	for _, rollout := range decoded.Rollouts {
		m.checkRollout(&rollout)
	}
}

// checkRollout is an oracle: a rollout that is over keeps its state. It also counts events of the rollout and records its largest
// share.
func (m *modelControl) checkRollout(rollout *configuration.Rollout) {
	if state, isEnded := m.endStates[rollout.Name]; isEnded && state != rollout.State {
		m.cluster.violate("OPERATOR", "rollout %s was over as %s and is %q now", rollout.Name, state, rollout.State)
	}
	if _, isKnown := m.endStates[rollout.Name]; !isKnown && rollout.State == configuration.RolloutRolledBack {
		m.cluster.coverage["turned_back"]++
	}
	if rollout.IsOver() {
		m.endStates[rollout.Name] = rollout.State
	}
	if rollout.State == configuration.RolloutFinished {
		m.cluster.coverage["finished"]++
	}
	if rollout.State == configuration.RolloutWidening && rollout.Step > 0 {
		m.cluster.coverage["widened"]++
	}
	m.largestShares[rollout.Name] = max(m.largestShares[rollout.Name], rollout.Share())
}

// readReport decodes a pool's report; it returns nil if that fails.
func readReport(body []byte) *wire.RolloutReport {
	report := &wire.RolloutReport{}
	if easyjson.Unmarshal(body, report) != nil {
		return nil
	}
	return report
}
