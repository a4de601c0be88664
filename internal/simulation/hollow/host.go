package hollow

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"
	"github.com/mailru/easyjson"

	"gannetline/internal/cluster/peerapi"
	"gannetline/internal/node/executorapi"
	"gannetline/internal/platform/clock"
	"gannetline/internal/platform/logging"
	"gannetline/internal/platform/mailbox"
	"gannetline/internal/platform/response"
	"gannetline/internal/platform/settings"
	"gannetline/internal/platform/transportmetrics"
	"gannetline/internal/roles"
)

const (
	// PathRecords answers with the RunRecords of all workers of the process.
	PathRecords = "/hollow/records"
	// PathCounts answers with the Counts of all workers of the process.
	PathCounts = "/hollow/counts"
	// PathFigures answers with what the process has sent and received and what it costs.
	PathFigures = "/hollow/figures"

	mailboxSize = 256
	// longestCall is in bytes.
	longestCall      = 64 << 10
	heartbeatTimeout = time.Second
	// heartbeatSpread is into how many steps the first heartbeats are spread.
	heartbeatSpread = 50
	// retryShare is the part of the interval after which a failed heartbeat is sent again.
	retryShare = 5
)

// node is one stand-in executor with the goroutine that leads it.
type node struct {
	mailbox  *mailbox.Mailbox
	executor *Executor
	settings *settings.Settings
	clock    clock.Clock
	ctx      context.Context
}

func newNode(ctx context.Context, worker Worker, nodeSettings *settings.Settings, timeSource clock.Clock) *node {
	started := &node{mailbox: mailbox.New(mailboxSize), settings: nodeSettings, clock: timeSource, ctx: ctx}
	shape := ExecutorConfig{Node: nodeSettings.NodeName, ID: "i-" + nodeSettings.NodeName, Capacity: worker.Capacity, Labels: worker.Labels,
		MaxHold: nodeSettings.MaxHold(), StopTimeout: clock.Milliseconds(nodeSettings.Bounds.StopTimeoutMs), ClockRate: worker.ClockRate,
		FailsFirstRuns: worker.FailsFirstRuns}
	started.executor = NewExecutor(shape, timeSource, started.later)
	return started
}

// later runs a function on the goroutine that leads the executor, once the wait is over.
func (n *node) later(wait time.Duration, run func()) {
	go func() {
		select {
		case <-n.ctx.Done():
		case <-n.clock.After(wait):
			n.mailbox.Post(run)
		}
	}()
}

// result is the answer to a call, with its HTTP status.
type result struct {
	status int
	answer executorapi.Answer
}

// command carries out a call on the goroutine that leads the executor, and gives its result at once or later.
type command = func(answer func(result))

// ServeHTTP answers the calls that a local proxy makes to its executor.
func (n *node) ServeHTTP(to http.ResponseWriter, request *http.Request) {
	if expected := request.Header.Get("X-Expected-Executor"); expected != "" && expected != n.executor.config.ID {
		response.Empty(http.StatusMisdirectedRequest).Write(to)
		return
	}
	text, err := io.ReadAll(io.LimitReader(request.Body, longestCall))
	if err != nil || request.Method != http.MethodPost {
		response.Empty(http.StatusBadRequest).Write(to)
		return
	}
	decoded := n.decode(request.URL.Path, text)
	if decoded == nil {
		response.Empty(http.StatusBadRequest).Write(to)
		return
	}
	done, err := mailbox.Ask(request.Context(), n.mailbox, decoded)
	if err != nil {
		return
	}
	body, err := easyjson.Marshal(done.answer)
	if err != nil {
		response.Empty(http.StatusInternalServerError).Write(to)
		return
	}
	response.Raw(done.status, body).Write(to)
}

// decode makes a command of a call, or nil if it can't be read.
func (n *node) decode(path string, text []byte) command {
	switch path {
	case "/v1/run-start":
		var order executorapi.RunStart
		return commandOf(text, &order, func(answer func(result)) { answer(resultOf(n.executor.Start(order))) })
	case "/v1/run-stop":
		var order executorapi.RunStop
		return commandOf(text, &order, func(answer func(result)) { answer(resultOf(n.executor.Stop(order))) })
	case "/v1/hold":
		var hold executorapi.Hold
		return commandOf(text, &hold, func(answer func(result)) {
			n.executor.Hold(hold, func(status int, lists executorapi.Answer) { answer(result{status, lists}) })
		})
	}
	return nil
}

// commandOf reads the message that a command uses; it gives nil if it can't be read.
func commandOf(text []byte, message easyjson.Unmarshaler, carryOut command) command {
	if easyjson.Unmarshal(text, message) != nil {
		return nil
	}
	return carryOut
}

func resultOf(status int, answer executorapi.Answer) result { return result{status, answer} }

// sendHeartbeats reports to the local proxy at the interval of the settings, sooner after a failure. The place among all
// workers of the process spreads the first heartbeats.
func (n *node) sendHeartbeats(client *http.Client, place int) {
	wait := clock.Milliseconds(int64(place%heartbeatSpread) * n.settings.HeartbeatMs / heartbeatSpread)
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-n.clock.After(wait):
		}
		wait = clock.Milliseconds(n.settings.HeartbeatMs)
		heartbeat, err := mailbox.Ask(n.ctx, n.mailbox, func(answer func(executorapi.Heartbeat)) {
			answer(n.executor.NextHeartbeat(n.settings.Service, n.settings.App, n.settings.Domain))
		})
		if err != nil || n.send(client, heartbeat) != nil {
			wait /= retryShare
		}
	}
}

func (n *node) send(client *http.Client, heartbeat executorapi.Heartbeat) error {
	body, err := easyjson.Marshal(heartbeat)
	if err != nil {
		return err
	}
	ctx, release := context.WithTimeout(n.ctx, heartbeatTimeout)
	defer release()
	url := "http://" + n.settings.Listen.Control + "/v1/executors/" + n.executor.config.ID + "/heartbeat"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

// Run keeps the hollow workers of a spec going until ctx is done or their time is over. It takes their settings in the order of
// the spec. An error names the worker that could not be started, or whose local proxy ended.
func Run(ctx context.Context, spec *Spec, all []*settings.Settings, log logging.Logger) error {
	ctx, release := context.WithTimeout(ctx, clock.Milliseconds(spec.ForMs))
	defer release()
	report, err := net.Listen("tcp4", spec.Report)
	if err != nil {
		return errors.Annotate(err, "field report")
	}
	timeSource, meter, client := clock.System(), &transportmetrics.Meter{}, peerapi.Client(heartbeatTimeout, 1)
	failed := make(chan error, len(all)+1)
	var nodes []*node
	for place, nodeSettings := range all {
		started := newNode(ctx, spec.Workers[place], nodeSettings, timeSource)
		nodes = append(nodes, started)
		app, err := net.Listen("tcp4", nodeSettings.App)
		if err != nil {
			return errors.Annotatef(err, "worker %d: field app", place)
		}
		go started.mailbox.Run(ctx, timeSource, mailbox.Owner{Every: time.Minute})
		go serve(ctx, app, started)
		go started.sendHeartbeats(client, place)
		if spec.Workers[place].IsExecutorOnly {
			continue
		}
		go func() {
			err := roles.HollowProxy(ctx, nodeSettings, log.WithValues("node", nodeSettings.NodeName), roles.WithMeter(meter))
			if err != nil {
				failed <- errors.Annotatef(err, "worker %d", place)
			}
		}()
	}
	go serve(ctx, report, reports(nodes, meter))
	select {
	case <-ctx.Done():
		return nil
	case err := <-failed:
		return err
	}
}

// serve answers calls on a listener until ctx is done.
func serve(ctx context.Context, listener net.Listener, handler http.Handler) {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	go func() {
		<-ctx.Done()
		server.Close()
	}()
	server.Serve(listener)
}

// reports serves the pages that tell what the workers did.
func reports(nodes []*node, meter *transportmetrics.Meter) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(PathRecords, func(to http.ResponseWriter, request *http.Request) {
		all := []RunRecord{}
		gather(request.Context(), nodes, (*Executor).Records, func(records []RunRecord) { all = append(all, records...) })
		WriteJSON(to, all)
	})
	mux.HandleFunc(PathCounts, func(to http.ResponseWriter, request *http.Request) {
		var sum Counts
		gather(request.Context(), nodes, (*Executor).Counts, func(counts Counts) {
			sum.Running, sum.Started = sum.Running+counts.Running, sum.Started+counts.Started
			sum.RepeatedFences += counts.RepeatedFences
		})
		WriteJSON(to, sum)
	})
	mux.HandleFunc(PathFigures, func(to http.ResponseWriter, _ *http.Request) { WriteJSON(to, meter.Figures()) })
	return mux
}

// gather asks each executor on the goroutine that leads it, and gives up at the first that does not answer.
func gather[T any](ctx context.Context, nodes []*node, question func(*Executor) T, take func(T)) {
	for _, asked := range nodes {
		value, err := mailbox.Ask(ctx, asked.mailbox, func(answer func(T)) { answer(question(asked.executor)) })
		if err != nil {
			return
		}
		take(value)
	}
}

// WriteJSON answers with a value as JSON.
func WriteJSON(to http.ResponseWriter, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		response.Text(http.StatusInternalServerError, err.Error()).Write(to)
		return
	}
	response.Raw(http.StatusOK, body).Write(to)
}
