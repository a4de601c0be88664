package roles

import (
	"net/http"
	"sync/atomic"
	"time"

	"gannetline/internal/clientapi"
	"gannetline/internal/comparenodes"
	"gannetline/internal/configcache"
	"gannetline/internal/leaderclient"
	"gannetline/internal/logging"
	"gannetline/internal/membership"
	"gannetline/internal/peerapi"
	"gannetline/internal/response"
	"gannetline/internal/span"
)

const (
	noticeTime     = 2200 * time.Millisecond
	closingReserve = 700 * time.Millisecond
)

// Gate serves clients until SIGTERM.
func Gate(path string, options ...Option) error {
	b, err := newBase(path, "gate", options...)
	if err != nil {
		return err
	}
	front, err := b.listen("front-plain", b.settings.Listen.Front)
	if err != nil {
		return err
	}
	ready, err := b.listen("readiness", b.settings.Listen.Readiness)
	if err != nil {
		return err
	}
	book := configcache.New(b.caller, b.clock, b.log, func(page *configcache.Snapshot) { b.node.HoldsPlan(page.Fact.Version) })
	book.Handle(b.inner)
	b.join(peerapi.Member{Role: "gate"}, membership.OnPlanAhead(book.Ahead))
	comparenodes.Handle(b.inner, comparenodes.Sources{View: b.node.View, Page: book.Page})
	var isLeaving atomic.Bool
	asker := leaderclient.New(b.caller, b.clock, b.node.View)
	server := newServer(b.meter.Handler(clientapi.New(book.Page, asker, b.clock)))
	b.tree.Add("plan", book.Run)
	b.tree.Add("clients", func(life span.Span) error {
		if err := server.Serve(front); err != http.ErrServerClosed {
			return err
		}
		<-life.Done()
		return nil
	})
	b.tree.Add("readiness", serving(ready, readiness(func() bool {
		return !isLeaving.Load() && book.Page() != nil && b.node.View().SeesSteward()
	})))
	log := b.log
	return b.run(func() {
		isLeaving.Store(true)
		server.SetKeepAlivesEnabled(false)
		<-b.clock.After(min(noticeTime, b.settings.GracePeriod()/2))
		closeOrderly(server, b.settings.GracePeriod()/2-closingReserve, log)
	})
}

func closeOrderly(server *http.Server, limit time.Duration, log logging.Logger) {
	life, release := span.Within(span.Root(), limit)
	defer release()
	if err := server.Shutdown(life); err != nil {
		log.Info("connections were still open at the end", "why", err.Error())
	}
}

func readiness(isReady func() bool) http.Handler {
	return http.HandlerFunc(func(to http.ResponseWriter, _ *http.Request) {
		if isReady() {
			response.Empty(http.StatusOK).Write(to)
			return
		}
		response.Empty(http.StatusServiceUnavailable).Write(to)
	})
}
