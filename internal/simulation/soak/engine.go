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
	engineCount = 4
	engineSlots = 8
	// engineEvents is how many events an answer has, and eventGap lies between two of them.
	engineEvents = 5
	eventGap     = 10 * time.Millisecond
	// assistantService is the service of the executors that the platform lists.
	assistantService = "assistant"
)

// engine is a stand-in for an executor of requests: it answers each with a short series of events that name the request.
type engine struct {
	id, address, zone string
}

// ServeHTTP answers a request that names this executor, from the event on that follows the last one the caller has.
func (e *engine) ServeHTTP(to http.ResponseWriter, call *http.Request) {
	id := call.Header.Get(headers.RequestID)
	to.Header().Set(headers.RequestID, id)
	to.Header().Set("X-Server-Seal", e.id)
	if call.Header.Get(headers.ExpectedExecutor) != e.id || id == "" {
		to.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	to.Header().Set("Content-Type", "text/event-stream")
	// Without the header the answer begins with the first event.
	last, _ := strconv.Atoi(call.Header.Get(headers.LastEventID))
	flusher := http.NewResponseController(to)
	for number := last + 1; number <= engineEvents; number++ {
		fmt.Fprintf(to, "id: %d\ndata: %s\n\n", number, eventData(id, number))
		if flusher.Flush() != nil || !pause(call.Context(), eventGap) {
			return
		}
	}
}

// eventData is what an event of a request's answer holds.
func eventData(id string, number int) string { return fmt.Sprintf("%s.%d", id, number) }

// listedInstance is an executor as the platform lists it.
type listedInstance struct {
	ID      string `json:"executor-id"`
	Service string `json:"service"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Slots   int    `json:"slot-count"`
	State   string `json:"executor-state"`
}

// engines are the stand-in executors of requests.
func (l *Layout) engines() []engine {
	var all []engine
	for number := range engineCount {
		all = append(all, engine{id: fmt.Sprintf("e-%d", number), address: endpoint(l.address(engineOctet, number), executorPort),
			zone: zoneName(number % l.Mix.Zones)})
	}
	return all
}

// platformAddress is where the stand-in platform lists the executors; empty where there are none.
func (l *Layout) platformAddress() string {
	if !l.Mix.Has(FeatureTier) {
		return ""
	}
	return endpoint(l.address(engineOctet, engineCount), reportPort)
}

// startTier starts the stand-in platform and executors until ctx is done, where the mix has them.
func (s *soak) startTier(ctx context.Context) error {
	if !s.layout.Mix.Has(FeatureTier) {
		return nil
	}
	var listed []listedInstance
	for _, started := range s.layout.engines() {
		if err := serveUntil(ctx, started.address, &started); err != nil {
			return err
		}
		listed = append(listed, listedInstance{ID: started.id, Service: assistantService, Address: started.address, Zone: started.zone,
			Slots: engineSlots, State: "ready"})
	}
	page, err := json.Marshal(map[string]any{"instance-list": listed, "next-token": nil})
	if err != nil {
		return errors.Annotate(err, "list of executors")
	}
	return serveUntil(ctx, s.layout.platformAddress(), http.HandlerFunc(func(to http.ResponseWriter, _ *http.Request) {
		to.Header().Set("Content-Type", "application/json")
		// A reader that has gone needs no answer.
		_, _ = to.Write(page)
	}))
}

// serveUntil serves an address until ctx is done.
func serveUntil(ctx context.Context, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return errors.Annotatef(err, "listening at %s", address)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: startLimit}
	go func() {
		<-ctx.Done()
		server.Close()
	}()
	go func() { _ = server.Serve(listener) }()
	return nil
}
