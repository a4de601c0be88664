package hollow

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"
	"github.com/mailru/easyjson"

	"gannetline/internal/executorapi"
	"gannetline/internal/logging"
	"gannetline/internal/mailbox"
	"gannetline/internal/peerapi"
	"gannetline/internal/pulse"
	"gannetline/internal/response"
	"gannetline/internal/roles"
	"gannetline/internal/settings"
	"gannetline/internal/span"
	"gannetline/internal/transportmetrics"
)

const (
	// PathRecords answers with the RunRecords of all workers of the process.
	PathRecords = "/hollow/records"
	// PathCounts answers with the Counts of all workers of the process.
	PathCounts = "/hollow/counts"
	// PathFigures answers with what the process has sent and received and what it costs.
	PathFigures = "/hollow/figures"
	// PathProfile gives the processor profile of the next so many seconds.
	PathProfile = "/hollow/profile"

	mostCall   = 64 << 10
	beatLimit  = time.Second
	beatSpread = 50
)

// node is one stand-in executor with the goroutine that owns it.
type node struct {
	box      *mailbox.Mailbox
	executor *Executor
	settings *settings.Settings
	clock    pulse.Pulse
	life     span.Span
}

func newNode(life span.Span, worker Worker, nodeSettings *settings.Settings, clock pulse.Pulse) *node {
	one := &node{box: mailbox.New(256), settings: nodeSettings, clock: clock, life: life}
	shape := Shape{Node: nodeSettings.NodeName, ID: "i-" + nodeSettings.NodeName, Room: worker.Room, Labels: worker.Labels,
		MaxHold: nodeSettings.MaxHold(), StopTimeout: pulse.Ms(nodeSettings.Bounds.StopTimeoutMs), Pace: worker.Pace}
	one.executor = NewExecutor(shape, clock, one.later)
	return one
}

func (n *node) later(wait time.Duration, letter func()) {
	go func() {
		select {
		case <-n.life.Done():
		case <-n.clock.After(wait):
			n.box.Post(letter)
		}
	}()
}

type told struct {
	status int
	answer executorapi.Answer
}

func (n *node) ServeHTTP(to http.ResponseWriter, request *http.Request) {
	if expected := request.Header.Get("X-Expected-Executor"); expected != "" && expected != n.executor.shape.ID {
		response.Empty(http.StatusMisdirectedRequest).Write(to)
		return
	}
	text, err := io.ReadAll(io.LimitReader(request.Body, mostCall))
	if err != nil || request.Method != http.MethodPost {
		response.Empty(http.StatusBadRequest).Write(to)
		return
	}
	command := n.decode(request.URL.Path, text)
	if command == nil {
		response.Empty(http.StatusBadRequest).Write(to)
		return
	}
	result, err := mailbox.Ask(n.box, request.Context(), command)
	if err != nil {
		return
	}
	body, err := easyjson.Marshal(result.answer)
	if err != nil {
		response.Empty(http.StatusInternalServerError).Write(to)
		return
	}
	response.Raw(result.status, body).Write(to)
}

// decode makes a command of a call, or nil if it can't be read.
func (n *node) decode(path string, text []byte) func(func(told)) {
	switch path {
	case "/v1/run-start":
		var order executorapi.RunStart
		return commandOf(text, &order, func(answer func(told)) { answer(tell(n.executor.Start(order))) })
	case "/v1/run-stop":
		var order executorapi.RunStop
		return commandOf(text, &order, func(answer func(told)) { answer(tell(n.executor.Stop(order))) })
	case "/v1/hold":
		var hold executorapi.Hold
		return commandOf(text, &hold, func(answer func(told)) {
			n.executor.Hold(hold, func(status int, lists executorapi.Answer) { answer(told{status, lists}) })
		})
	}
	return nil
}

func commandOf(text []byte, message easyjson.Unmarshaler, command func(func(told))) func(func(told)) {
	if easyjson.Unmarshal(text, message) != nil {
		return nil
	}
	return command
}

func tell(status int, answer executorapi.Answer) told { return told{status, answer} }

// beat says that the executor is there, over and over.
func (n *node) beat(client *http.Client, place int) {
	wait := pulse.Ms(int64(place%beatSpread) * n.settings.HeartbeatMs / beatSpread)
	for {
		select {
		case <-n.life.Done():
			return
		case <-n.clock.After(wait):
		}
		wait = pulse.Ms(n.settings.HeartbeatMs)
		word, err := mailbox.Ask(n.box, n.life, func(answer func(executorapi.Beat)) {
			answer(n.executor.Beat(n.settings.Service, n.settings.App, n.settings.Domain))
		})
		if err != nil || n.send(client, word) != nil {
			wait /= 5
		}
	}
}

func (n *node) send(client *http.Client, word executorapi.Beat) error {
	body, err := easyjson.Marshal(word)
	if err != nil {
		return err
	}
	life, release := span.Within(n.life, beatLimit)
	defer release()
	url := "http://" + n.settings.Listen.Control + "/v1/executors/" + n.executor.shape.ID + "/heartbeat"
	request, err := http.NewRequestWithContext(life, http.MethodPost, url, bytes.NewReader(body))
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

// Run keeps the hollow workers of a spec going until the span or their time ends.
func Run(life span.Span, spec *Spec, all []*settings.Settings, log logging.Logger) error {
	life, release := span.Within(life, pulse.Ms(spec.ForMs))
	defer release()
	report, err := net.Listen("tcp4", spec.Report)
	if err != nil {
		return errors.Annotate(err, "field report")
	}
	clock, meter, beats := pulse.Real(), &transportmetrics.Meter{}, peerapi.Client(beatLimit, 1)
	failed := make(chan error, len(all)+1)
	var nodes []*node
	for place, nodeSettings := range all {
		one := newNode(life, spec.Workers[place], nodeSettings, clock)
		nodes = append(nodes, one)
		app, err := net.Listen("tcp4", nodeSettings.App)
		if err != nil {
			return errors.Annotatef(err, "worker %d: field app", place)
		}
		go one.box.Run(life, clock, mailbox.Owner{Every: time.Minute})
		go serve(life, app, one)
		go one.beat(beats, place)
		if spec.Workers[place].IsExecutorOnly {
			continue
		}
		go func() {
			err := roles.HollowProxy(life, nodeSettings, log.WithValues("node", nodeSettings.NodeName), roles.WithMeter(meter))
			if err != nil {
				failed <- errors.Annotatef(err, "worker %d", place)
			}
		}()
	}
	go serve(life, report, reports(nodes, meter))
	select {
	case <-life.Done():
		return nil
	case err := <-failed:
		return err
	}
}

func serve(life span.Span, listener net.Listener, handler http.Handler) {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	go func() {
		<-life.Done()
		server.Close()
	}()
	server.Serve(listener)
}

func reports(nodes []*node, meter *transportmetrics.Meter) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(PathRecords, func(to http.ResponseWriter, request *http.Request) {
		all := []RunRecord{}
		gather(nodes, request.Context(), (*Executor).Records, func(records []RunRecord) { all = append(all, records...) })
		WriteJSON(to, all)
	})
	mux.HandleFunc(PathCounts, func(to http.ResponseWriter, request *http.Request) {
		var sum Counts
		gather(nodes, request.Context(), (*Executor).Counts, func(counts Counts) {
			sum.Running, sum.Started = sum.Running+counts.Running, sum.Started+counts.Started
		})
		WriteJSON(to, sum)
	})
	mux.HandleFunc(PathFigures, func(to http.ResponseWriter, _ *http.Request) { WriteJSON(to, meter.Figures()) })
	return mux
}

func gather[T any](nodes []*node, life span.Span, question func(*Executor) T, take func(T)) {
	for _, one := range nodes {
		value, err := mailbox.Ask(one.box, life, func(answer func(T)) { answer(question(one.executor)) })
		if err != nil {
			return
		}
		take(value)
	}
}

// WriteJSON answers with a value of the scale run's own pages.
func WriteJSON(to http.ResponseWriter, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		response.Text(http.StatusInternalServerError, err.Error()).Write(to)
		return
	}
	response.Raw(http.StatusOK, body).Write(to)
}
