package configcache

import (
	"context"
	"net/http"

	"gannetline/internal/cluster/peerapi"
	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/platform/mailbox"
)

// maxConcurrentAnswers may be under way at once, from the call to its last byte: what a flood of fetches takes of this
// process's link at any moment is at most that many chunks. Others are sent on.
const maxConcurrentAnswers = 12

// Handle lets peers fetch the configuration.
func (c *Cache) Handle(mux *http.ServeMux) {
	open, full := http.NewServeMux(), http.NewServeMux()
	peerapi.Serve(open, peerapi.ProcedurePlan, c.answer)
	peerapi.Serve(full, peerapi.ProcedurePlan, func(context.Context, *wire.ConfigurationCall) (*wire.ConfigurationAnswer, error) {
		fetchesRefused.Inc()
		return &wire.ConfigurationAnswer{Busy: true}, nil
	})
	mux.HandleFunc(peerapi.ProcedurePlan, func(to http.ResponseWriter, request *http.Request) {
		select {
		case c.answerSlots <- struct{}{}:
			defer func() { <-c.answerSlots }()
			open.ServeHTTP(to, request)
		default:
			full.ServeHTTP(to, request)
		}
	})
}

// answer gives changes, or a chunk of an image, which is packed on the goroutine that owns the cache.
func (c *Cache) answer(ctx context.Context, call *wire.ConfigurationCall) (*wire.ConfigurationAnswer, error) {
	if answer := c.version().AnswerTo(call); answer != nil {
		return answer, nil
	}
	type outcome struct {
		chunk *wire.ConfigurationChunk
		err   error
	}
	packed, err := mailbox.Ask(ctx, c.mailbox, func(answer func(outcome)) {
		chunk, err := c.fetcher.Chunk(call)
		answer(outcome{chunk, err})
	})
	switch {
	case err != nil:
		return nil, err
	case packed.err != nil:
		return nil, packed.err
	}
	return &wire.ConfigurationAnswer{Chunk: packed.chunk}, nil
}
