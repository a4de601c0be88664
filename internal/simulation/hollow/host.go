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
	// PathFigures answers with the traffic and the resource use of the process.
	PathFigures = "/hollow/figures"

	mailboxSize = 256
	// maxCallBytes is the longest body of a call that is read.
	maxCallBytes     = 64 << 10
	heartbeatTimeout = time.Second
	// heartbeatSpreadSteps is the number of equal steps of the heartbeat interval to which the first heartbeats of the workers are spread.
	heartbeatSpreadSteps = 50
	// retryDivisor is the number by which the heartbeat interval is divided to get the wait after a failed heartbeat.
	retryDivisor = 5
)

// node is one stand-in executor with its mailbox. All calls to the executor run on the goroutine that runs the mailbox.
type node struct {
	mailbox  *mailbox.Mailbox
	executor *Executor
	settings *settings.Settings
	clock    clock.Clock
	ctx      context.Context
}

func newNode(ctx context.Context, worker Worker, nodeSettings *settings.Settings, timeSource clock.Clock) *node {
	started := &node{mailbox: mailbox.New(mailboxSize), settings: nodeSettings, clock: timeSource, ctx: ctx}
	config := ExecutorConfig{Node: nodeSettings.NodeName, ID: "i-" + nodeSettings.NodeName, Capacity: worker.Capacity, Labels: worker.Labels,
		MaxHold: nodeSettings.MaxHold(), StopTimeout: clock.Milliseconds(nodeSettings.Bounds.StopTimeoutMs), ClockRate: worker.ClockRate,
		FailsFirstRuns: worker.FailsFirstRuns}
	started.executor = NewExecutor(config, timeSource, started.runLater)
	return started
}

// runLater runs a function on the goroutine of the executor after a wait.
func (n *node) runLater(wait time.Duration, run func()) {
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

// command carries out a call on the goroutine of the executor. It calls answer at once or later.
type command = func(answer func(result))

// ServeHTTP answers the calls that a local proxy makes to its executor. It answers 421 if the call expects an executor with another ID.
func (n *node) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if expected := request.Header.Get("X-Expected-Executor"); expected != "" && expected != n.executor.config.ID {
		response.Empty(http.StatusMisdirectedRequest).Write(writer)
		return
	}
	text, err := io.ReadAll(io.LimitReader(request.Body, maxCallBytes))
	if err != nil || request.Method != http.MethodPost {
		response.Empty(http.StatusBadRequest).Write(writer)
		return
	}
	decoded := n.decode(request.URL.Path, text)
	if decoded == nil {
		response.Empty(http.StatusBadRequest).Write(writer)
		return
	}
	done, err := mailbox.Ask(request.Context(), n.mailbox, decoded)
	if err != nil {
		return
	}
	body, err := easyjson.Marshal(done.answer)
	if err != nil {
		response.Empty(http.StatusInternalServerError).Write(writer)
		return
	}
	response.Raw(done.status, body).Write(writer)
}

// decode returns the command of a call, or nil for an unknown path or an invalid body.
func (n *node) decode(path string, text []byte) command {
	switch path {
	case "/v1/run-start":
		var order executorapi.RunStart
		return parseCommand(text, &order, func(answer func(result)) { answer(resultOf(n.executor.Start(order))) })
	case "/v1/run-stop":
		var order executorapi.RunStop
		return parseCommand(text, &order, func(answer func(result)) { answer(resultOf(n.executor.Stop(order))) })
	case "/v1/hold":
		var hold executorapi.Hold
		return parseCommand(text, &hold, func(answer func(result)) {
			n.executor.Hold(hold, func(status int, lists executorapi.Answer) { answer(result{status, lists}) })
		})
	}
	return nil
}

// parseCommand decodes text into the message that handle uses, and returns handle, or nil if the text is invalid.
func parseCommand(text []byte, message easyjson.Unmarshaler, handle command) command {
	if easyjson.Unmarshal(text, message) != nil {
		return nil
	}
	return handle
}

func resultOf(status int, answer executorapi.Answer) result { return result{status, answer} }

// sendHeartbeats sends heartbeats to the local proxy at the interval of the settings, and sooner after a failure. The index of the worker in
// its process sets the wait before its first heartbeat.
func (n *node) sendHeartbeats(client *http.Client, index int) {
	wait := clock.Milliseconds(int64(index%heartbeatSpreadSteps) * n.settings.HeartbeatMs / heartbeatSpreadSteps)
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
			wait /= retryDivisor
		}
	}
}

// send sends a heartbeat. It returns an error if no answer comes; the status of the answer is not checked.
func (n *node) send(client *http.Client, heartbeat executorapi.Heartbeat) error {
	body, err := easyjson.Marshal(heartbeat)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(n.ctx, heartbeatTimeout)
	defer cancel()
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

// Run runs the workers of a spec until ctx is done or the spec's run time is over. workerSettings are their settings, in the order of the
// spec. If a worker can't be started or its local proxy fails, Run returns an error with the worker's index.
func Run(ctx context.Context, spec *Spec, workerSettings []*settings.Settings, log logging.Logger) error {
	ctx, cancel := context.WithTimeout(ctx, clock.Milliseconds(spec.ForMs))
	defer cancel()
	reportListener, err := net.Listen("tcp4", spec.Report)
	if err != nil {
		return errors.Annotate(err, "field report")
	}
	timeSource, meter, client := clock.System(), &transportmetrics.Meter{}, peerapi.Client(heartbeatTimeout, 1)
	failed := make(chan error, len(workerSettings)+1)
	var nodes []*node
	for index, nodeSettings := range workerSettings {
		started := newNode(ctx, spec.Workers[index], nodeSettings, timeSource)
		nodes = append(nodes, started)
		app, err := net.Listen("tcp4", nodeSettings.App)
		if err != nil {
			return errors.Annotatef(err, "worker %d: field app", index)
		}
		go started.mailbox.Run(ctx, timeSource, mailbox.Owner{Every: time.Minute})
		go serve(ctx, app, started)
		go started.sendHeartbeats(client, index)
		if spec.Workers[index].IsExecutorOnly {
			continue
		}
		go func() {
			err := roles.HollowProxy(ctx, nodeSettings, log.WithValues("node", nodeSettings.NodeName), roles.WithMeter(meter))
			if err != nil {
				failed <- errors.Annotatef(err, "worker %d", index)
			}
		}()
	}
	go serve(ctx, reportListener, reportHandler(nodes, meter))
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

// reportHandler serves the records, counts and figures of the workers.
func reportHandler(nodes []*node, meter *transportmetrics.Meter) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(PathRecords, func(writer http.ResponseWriter, request *http.Request) {
		all := []RunRecord{}
		collect(request.Context(), nodes, (*Executor).Records, func(records []RunRecord) { all = append(all, records...) })
		WriteJSON(writer, all)
	})
	mux.HandleFunc(PathCounts, func(writer http.ResponseWriter, request *http.Request) {
		var sum Counts
		collect(request.Context(), nodes, (*Executor).Counts, func(counts Counts) {
			sum.Running, sum.Started = sum.Running+counts.Running, sum.Started+counts.Started
			sum.RepeatedFences += counts.RepeatedFences
		})
		WriteJSON(writer, sum)
	})
	mux.HandleFunc(PathFigures, func(writer http.ResponseWriter, _ *http.Request) { WriteJSON(writer, meter.Figures()) })
	return mux
}

// collect queries each executor on that executor's goroutine, and passes the values to add. It stops without an error when ctx is done.
func collect[T any](ctx context.Context, nodes []*node, query func(*Executor) T, add func(T)) {
	for _, target := range nodes {
		value, err := mailbox.Ask(ctx, target.mailbox, func(answer func(T)) { answer(query(target.executor)) })
		if err != nil {
			return
		}
		add(value)
	}
}

// WriteJSON writes a value as JSON to an HTTP response.
func WriteJSON(writer http.ResponseWriter, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		response.Text(http.StatusInternalServerError, err.Error()).Write(writer)
		return
	}
	response.Raw(http.StatusOK, body).Write(writer)
}
