package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"gannetline/internal/platform/headers"
)

const (
	// engineCount is the number of fake executors of requests, and engineSlots the number of requests that each may run at a time.
	engineCount = 4
	engineSlots = 8
	// eventsPerAnswer is the number of events in an answer, and eventGap is the time between two of them.
	eventsPerAnswer = 5
	eventGap        = 10 * time.Millisecond
	// assistantService is the service of the engines.
	assistantService = "assistant"
)

// engine is a fake executor of requests. It answers each request with a short event stream that contains the request's ID. At random it refuses
// requests, and sends refusals once more in the place of later answers.
type engine struct {
	id, address, zone string
	// recordBegin records that a request begins to run, unless it is nil.
	recordBegin func(id, engine string)
}

// ServeHTTP streams the events after Last-Event-Id. It refuses a request that has no ID or is meant for another executor.
func (e *engine) ServeHTTP(writer http.ResponseWriter, call *http.Request) {
	id := call.Header.Get(headers.RequestID)
	writer.Header().Set(headers.RequestID, id)
	writer.Header().Set("X-Server-Seal", e.id)
	if call.Header.Get(headers.ExpectedExecutor) != e.id || id == "" {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	connection, isKnown := call.Context().Value(engineConnectionKey{}).(*engineConnection)
	if isKnown && connection.refuse(writer, id) {
		return
	}
	if e.recordBegin != nil {
		e.recordBegin(id, e.id)
	}
	if isKnown && connection.sendExtraAnswer(writer) {
		return
	}
	writer.Header().Set("Content-Type", "text/event-stream")
	// A missing header parses as 0: the answer begins with the first event.
	last, _ := strconv.Atoi(call.Header.Get(headers.LastEventID))
	flusher := http.NewResponseController(writer)
	for number := last + 1; number <= eventsPerAnswer; number++ {
		fmt.Fprintf(writer, "id: %d\ndata: %s\n\n", number, eventData(id, number))
		if flusher.Flush() != nil || !pause(call.Context(), eventGap) {
			return
		}
	}
}

// eventData returns the data of one event of a request's answer.
func eventData(id string, number int) string { return fmt.Sprintf("%s.%d", id, number) }

// listedInstance is one executor in the answer of the platform API.
type listedInstance struct {
	ID      string `json:"executor-id"`
	Service string `json:"service"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Slots   int    `json:"slot-count"`
	State   string `json:"executor-state"`
}

// engines returns the fake executors of requests, spread over the zones of the mix.
func (l *Layout) engines() []engine {
	var all []engine
	for number := range engineCount {
		all = append(all, engine{id: fmt.Sprintf("e-%d", number), address: endpoint(l.address(engineOctet, number), executorPort),
			zone: zoneName(number % l.Mix.Zones)})
	}
	return all
}

// platformAddress returns the address of the fake platform API, or "" if the mix has no tier.
func (l *Layout) platformAddress() string {
	if !l.Mix.Has(FeatureTier) {
		return ""
	}
	return endpoint(l.address(engineOctet, engineCount), reportPort)
}

// startTier starts the fake platform API and the engines if the mix has a tier. They run until ctx is done.
func (s *soak) startTier(ctx context.Context) error {
	if !s.layout.Mix.Has(FeatureTier) {
		return nil
	}
	var listed []listedInstance
	for _, started := range s.layout.engines() {
		started.recordBegin = func(id, engine string) {
			begun := StreamRun{ID: id, Engine: engine, At: s.recorder.now()}
			s.recorder.write(func(h *History) { h.StreamRuns = append(h.StreamRuns, begun) })
		}
		if err := serveUntil(ctx, started.address, &started); err != nil {
			return err
		}
		listed = append(listed, listedInstance{ID: started.id, Service: assistantService, Address: started.address, Zone: started.zone,
			Slots: engineSlots, State: "ready"})
	}
	page, err := json.Marshal(map[string]any{"instance-list": listed, "next-token": nil})
	if err != nil {
		return errors.Annotate(err, "encoding the list of executors")
	}
	return serveUntil(ctx, s.layout.platformAddress(), http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Content-Type", "application/json")
		// A failed write means that the reader has disconnected.
		_, _ = writer.Write(page)
	}))
}

// serveUntil serves HTTP on an address in the background until ctx is done.
func serveUntil(ctx context.Context, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return errors.Annotatef(err, "listening at %s", address)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: startTimeout, ConnContext: withConnection}
	go func() {
		<-ctx.Done()
		server.Close()
	}()
	go func() { _ = server.Serve(listener) }()
	return nil
}
