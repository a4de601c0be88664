package soak

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"
)

const (
	// lotDeadline is the deadline of results on the route of lots.
	lotDeadline  = 8 * time.Second
	meanLotPause = 700 * time.Millisecond
	maxLotItems  = 12
	// lotClientNumber gives the client of lots another random stream than the clients of streams.
	lotClientNumber = 900
	lotsPath        = "/v1/lots/"
)

// LotResult is the result of one item of a lot, in the JSON of the gate's answer.
type LotResult struct {
	Item  string `json:"executor-id"`
	State string `json:"executor-state"`
	Text  string `json:"text"`
}

// LotRead is a gate's answer with a lot's results from position From on. From is -1 if the gate didn't know the lot.
type LotRead struct {
	From    int
	At      time.Duration
	Results []LotResult
}

// Lot is an accepted lot and all answers about it. Last holds the results that were read from
// position 0 on.
type Lot struct {
	ID         string
	Items      int
	AcceptedAt time.Duration
	Reads      []LotRead
	Last       []LotResult
}

// item returns the ID of the item with a zero-based number.
func (l *Lot) item(number int) string { return fmt.Sprintf("%s%04d", l.ID[:12], number) }

// expectedText returns the text that the engines answer to an item.
func expectedText(item string) string {
	var lines []string
	for number := 1; number <= eventsPerAnswer; number++ {
		lines = append(lines, eventData(item, number))
	}
	return strings.Join(lines, "\n")
}

// lotClient submits lots at random gates and reads their results.
type lotClient struct {
	*streamClient
	accepted []*Lot
}

func newLotClient(s *soak) *lotClient {
	return &lotClient{streamClient: newTierClient(s, lotClientNumber, s.layout.Gates[0])}
}

// run submits lots and reads their results from random positions on until ctx is done. Then it reads each lot until it has all
// results, at most for settleTimeout.
func (c *lotClient) run(ctx context.Context) {
	for pause(ctx, time.Duration(c.random.ExpFloat64()*float64(meanLotPause)/c.options.pace())) {
		c.submit(ctx, &Lot{ID: fmt.Sprintf("%016x", c.random.Uint64()), Items: 1 + c.random.IntN(maxLotItems)})
		for _, lot := range c.accepted {
			c.read(ctx, lot, c.random.IntN(len(lot.Last)+1))
		}
	}
	timeoutCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	for _, lot := range c.accepted {
		c.readAllResults(timeoutCtx, lot)
		settled := *lot
		c.recorder.write(func(h *History) { h.Lots = append(h.Lots, settled) })
	}
}

// readAllResults reads a lot from its start until it has all results or ctx is done.
func (c *lotClient) readAllResults(ctx context.Context, lot *Lot) {
	for len(lot.Last) < lot.Items {
		if !c.read(ctx, lot, 0) {
			return
		}
	}
}

func (c *lotClient) drawGate() Node { return c.layout.Gates[c.random.IntN(len(c.layout.Gates))] }

// submit submits a lot at random gates until it is accepted or refused with a 4xx status other than 429, at most maxTries times. In a soak with
// moves, 404 says that the route is gone for a while, and the lot is submitted again.
func (c *lotClient) submit(ctx context.Context, lot *Lot) {
	var items []string
	for number := range lot.Items {
		items = append(items, fmt.Sprintf(`{"executor-id":%q,"path":%q,"header-list":{"X-Model-Name":"m"},"body":%q,"token-count":50}`,
			lot.item(number), draftsPrefix+"item", base64.StdEncoding.EncodeToString([]byte(lot.item(number)))))
	}
	body := `{"item-list":[` + strings.Join(items, ",") + `]}`
	for range maxTries {
		status, text := c.call(ctx, http.MethodPost, draftsPrefix+lot.ID, lot.ID, body)
		switch {
		case status == http.StatusAccepted:
			lot.AcceptedAt = c.recorder.now()
			c.accepted = append(c.accepted, lot)
			return
		case status == http.StatusNotFound && c.layout.Mix.Has(FeatureMoves):
		case status/100 == 4 && status != http.StatusTooManyRequests:
			at := c.recorder.now()
			c.recorder.write(func(h *History) {
				h.LotRefusals = append(h.LotRefusals, Violation{OracleLot, at, fmt.Sprintf("lot refused by %d %s", status, text)})
			})
			return
		}
		if !pause(ctx, retryPause) {
			return
		}
	}
}

// call makes one call to a random gate. The status is 0 if no complete answer came.
func (c *lotClient) call(ctx context.Context, method, path, id, body string) (status int, text string) {
	answer, err := c.client.Do(c.tierRequest(ctx, method, c.drawGate(), path, id, body))
	if err != nil {
		return 0, ""
	}
	defer answer.Body.Close()
	read, err := io.ReadAll(answer.Body)
	if err != nil {
		return 0, ""
	}
	return answer.StatusCode, string(read)
}

// read reads the results of a lot from a position on and waits retryPause. It returns false once ctx is done.
func (c *lotClient) read(ctx context.Context, lot *Lot, from int) bool {
	status, text := c.call(ctx, http.MethodGet, fmt.Sprintf("%s%s?depends-on=%d", lotsPath, lot.ID, from), lot.ID, "")
	var page struct {
		Results []LotResult `json:"result-list"`
	}
	switch {
	case status == http.StatusNotFound:
		lot.Reads = append(lot.Reads, LotRead{From: -1, At: c.recorder.now()})
	case status == http.StatusOK && json.Unmarshal([]byte(text), &page) == nil:
		lot.Reads = append(lot.Reads, LotRead{From: from, At: c.recorder.now(), Results: page.Results})
		if from+len(page.Results) > len(lot.Last) {
			lot.Last = append(slices.Clone(lot.Last[:from]), page.Results...)
		}
	}
	return pause(ctx, retryPause)
}

// badLots is the oracle of lots: no lot is refused, each gate knows each accepted lot, all results of a lot come, and neither
// their positions nor their contents change. Items may be given up only in a soak with moves, which remove the route.
func badLots(h *History) []Violation {
	violations := slices.Clone(h.LotRefusals)
	for index := range h.Lots {
		lot := &h.Lots[index]
		if text := lot.problem(h.mix().Has(FeatureMoves)); text != "" {
			violations = append(violations, Violation{OracleLot, lot.AcceptedAt, fmt.Sprintf("lot %s: %s", lot.ID, text)})
		}
	}
	return violations
}

// isWhole reports whether a result is the whole text of its item or, if mayLoseRoute is set, says that the item was given up.
func (r *LotResult) isWhole(mayLoseRoute bool) bool {
	if r.State == "dead_letter" {
		return mayLoseRoute && r.Text == ""
	}
	return r.State == "completed" && r.Text == expectedText(r.Item)
}

// problem returns the first problem of a lot, or "" if there is none. mayLoseRoute is set if configurations may have removed the lot's route.
func (l *Lot) problem(mayLoseRoute bool) string {
	if len(l.Last) != l.Items {
		return fmt.Sprintf("has %d results at last, of %d items", len(l.Last), l.Items)
	}
	seen := map[string]bool{}
	for _, result := range l.Last {
		if seen[result.Item] || !result.isWhole(mayLoseRoute) {
			return fmt.Sprintf("item %s is %s with %q, or has two positions", result.Item, result.State, result.Text)
		}
		seen[result.Item] = true
	}
	for _, read := range l.Reads {
		if read.From < 0 {
			return fmt.Sprintf("is not known at %v", read.At)
		}
		if !slices.Equal(read.Results, l.Last[read.From:read.From+len(read.Results)]) {
			return fmt.Sprintf("the results from position %d on, read at %v, are others at last", read.From, read.At)
		}
	}
	return ""
}
