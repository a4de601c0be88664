package configcache

import (
	"context"
	"net/http"

	"gannetline/internal/cluster/peerapi"
	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/platform/mailbox"
)

// maxConcurrentAnswers is how many answers may be in progress at once, from the call to the last byte, so that many fetches at once don't
// fill the link of this process. Further callers get the answer Busy and ask another peer.
const maxConcurrentAnswers = 12

// Handle registers the procedure by which peers fetch the configuration.
func (c *Cache) Handle(mux *http.ServeMux) {
	accepting, refusing := http.NewServeMux(), http.NewServeMux()
	peerapi.Serve(accepting, peerapi.ProcedurePlan, c.answer)
	peerapi.Serve(refusing, peerapi.ProcedurePlan, func(context.Context, *wire.ConfigurationCall) (*wire.ConfigurationAnswer, error) {
		fetchesRefused.Inc()
		return &wire.ConfigurationAnswer{Busy: true}, nil
	})
	mux.HandleFunc(peerapi.ProcedurePlan, func(writer http.ResponseWriter, request *http.Request) {
		select {
		case c.answerSlots <- struct{}{}:
			defer func() { <-c.answerSlots }()
			accepting.ServeHTTP(writer, request)
		default:
			refusing.ServeHTTP(writer, request)
		}
	})
}

// answer answers a peer's call. Only for a chunk of an image it waits for the goroutine that owns the cache.
func (c *Cache) answer(ctx context.Context, call *wire.ConfigurationCall) (*wire.ConfigurationAnswer, error) {
	if answer := c.currentVersion().AnswerTo(call); answer != nil {
		return answer, nil
	}
	type outcome struct {
		chunk *wire.ConfigurationChunk
		err   error
	}
	result, err := mailbox.Ask(ctx, c.mailbox, func(answer func(outcome)) {
		chunk, err := c.fetcher.Chunk(call)
		answer(outcome{chunk, err})
	})
	switch {
	case err != nil:
		return nil, err
	case result.err != nil:
		return nil, result.err
	}
	return &wire.ConfigurationAnswer{Chunk: result.chunk}, nil
}
