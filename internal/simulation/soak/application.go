package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/dghubble/sling"

	"gannetline/internal/cluster/peerapi/wire"
	check "gannetline/internal/simulation/coordinationcheck"
)

const (
	applicationStream = 2000
	// applicationCount is the number of applications that make one call at a time, and of applications that each watch a group
	// of cells.
	applicationCount = 4
	// Few names, so that applications contend for them.
	lockCount, numberCount, groupCount, cellCount = 4, 2, 2, 4
	// meanCallPause is the mean time between two calls of an application.
	meanCallPause = 120 * time.Millisecond
	// coordinationTimeout is the timeout of a call to one steward.
	coordinationTimeout = time.Second
	// putRetryTime is the time in which a put without a clear answer is retried, and putPause is the time between two attempts.
	putRetryTime = 5 * time.Second
	putPause     = 80 * time.Millisecond
	// The range of the time for which a lock is requested, and the maximum number of its renewals.
	minHold, maxHold = 400 * time.Millisecond, 4 * time.Second
	maxRenewals      = 5
	// The percentages of holders that sleep beyond the end of their hold, and that stop without a release.
	sleepPercent, diePercent = 10, 10
	watchWait                = 2 * time.Second
	// historySeconds is the time for which the stewards keep the history of revisions, as written into the settings.
	historySeconds = 20
)

// application calls the stewards for locks, numbers and cells like an application of a user. knownRevisions holds the last
// revision that it has seen of each cell.
type application struct {
	*soak
	name           string
	client         *http.Client
	draw           *rand.Rand
	valueCount     int
	knownRevisions map[string]uint64
}

func newApplication(s *soak, number int) *application {
	return &application{soak: s, name: fmt.Sprintf("a%d", number), client: &http.Client{Timeout: coordinationTimeout + watchWait},
		draw: rand.New(rand.NewPCG(s.options.Seed, uint64(applicationStream+number))), knownRevisions: map[string]uint64{}}
}

// startApplications starts applications that make calls and applications that watch, until ctx is done.
func (s *soak) startApplications(ctx context.Context, running *sync.WaitGroup) {
	for number := range applicationCount {
		running.Go(func() { newApplication(s, number).run(ctx) })
		running.Go(func() { newApplication(s, applicationCount+number).watch(ctx, groupName(number%groupCount)) })
	}
}

func groupName(number int) string { return fmt.Sprintf("g%d.", number) }

// recordSeen changes the history of applications.
func (a *application) recordSeen(change func(*check.History)) {
	a.recorder.write(func(h *History) { change(&h.Applications) })
}

// run makes one random call after another until ctx is done.
func (a *application) run(ctx context.Context) {
	for pause(ctx, time.Duration(a.draw.ExpFloat64()*float64(meanCallPause)/a.options.pace())) {
		cell := groupName(a.draw.IntN(groupCount)) + strconv.Itoa(a.draw.IntN(cellCount))
		switch roll := a.draw.IntN(100); {
		case roll < 40:
			a.holdLock(ctx, fmt.Sprintf("l%d", a.draw.IntN(lockCount)))
		case roll < 55:
			a.takeNumber(ctx, fmt.Sprintf("n%d", a.draw.IntN(numberCount)))
		case roll < 85:
			a.put(ctx, cell)
		default:
			a.get(ctx, cell)
		}
	}
}

// call sends one call to a random steward, as a POST if there is a body. The status is 0 if no whole answer came in time.
func (a *application) call(ctx context.Context, path string, body, result any) int {
	ctx, cancel := context.WithTimeout(ctx, coordinationTimeout)
	defer cancel()
	return a.callWaiting(ctx, path, body, result)
}

// callWaiting is call without coordinationTimeout, for an answer that the steward may hold back.
func (a *application) callWaiting(ctx context.Context, path string, body, result any) int {
	builder := sling.New().Base(a.drawSteward())
	if body == nil {
		builder = builder.Get(path)
	} else {
		builder = builder.Post(path).BodyJSON(body)
	}
	request, err := builder.Request()
	if err != nil {
		return 0
	}
	response, err := builder.Client(a.client).Do(request.WithContext(ctx), result, result)
	if response == nil || err != nil && result != nil {
		return 0
	}
	return response.StatusCode
}

func (a *application) drawSteward() string {
	stewards := a.cluster.stewards()
	if len(stewards) == 0 {
		return "http://" + endpoint(a.layout.Stewards[0].IP, controlPort)
	}
	return "http://" + endpoint(stewards[a.draw.IntN(len(stewards))].node.IP, controlPort)
}

// holdLock acquires a lock and renews it a few times. Then it releases the lock, sleeps beyond the end of the hold, or stops
// without a release.
func (a *application) holdLock(ctx context.Context, lock string) {
	length := minHold + time.Duration(a.draw.Int64N(int64(maxHold-minHold)))
	path, sentAt := "/v1/locks/"+lock, a.recorder.now()
	var granted wire.LockAnswer
	if a.call(ctx, path+"/initiate", &wire.LockCall{Holder: a.name, HoldMs: length.Milliseconds()}, &granted) != http.StatusOK {
		return
	}
	held := &check.Hold{Lock: lock, Holder: a.name, Fence: granted.Fence, SentAt: sentAt, From: a.recorder.now(), To: sentAt + length}
	renewals, roll := a.draw.IntN(maxRenewals+1), a.draw.IntN(100)
	for range renewals {
		if !pause(ctx, time.Duration(a.draw.Int64N(int64(length)))) || !a.renew(ctx, held, length) {
			break
		}
	}
	if roll < sleepPercent {
		pause(ctx, 2*length)
	}
	// The hold ends before its release is sent.
	held.To = min(held.To, a.recorder.now())
	a.recordSeen(func(h *check.History) { h.Holds = append(h.Holds, *held) })
	if roll >= sleepPercent+diePercent {
		a.call(ctx, path+"/terminate", &wire.LockCall{Holder: a.name, Fence: held.Fence}, nil)
	}
}

// renew renews the hold once and returns false if the lock is lost. An answer that comes after the end of the hold doesn't
// extend it.
func (a *application) renew(ctx context.Context, held *check.Hold, length time.Duration) bool {
	sentAt := a.recorder.now()
	body := &wire.LockCall{Holder: a.name, Fence: held.Fence, HoldMs: length.Milliseconds()}
	status := a.call(ctx, "/v1/locks/"+held.Lock+"/heartbeat", body, nil)
	now := a.recorder.now()
	switch {
	case status == http.StatusOK && now < held.To:
		held.To = max(held.To, sentAt+length)
	case status == http.StatusConflict:
		held.To = min(held.To, now)
		return false
	}
	return now < held.To
}

func (a *application) takeNumber(ctx context.Context, name string) {
	sentAt := a.recorder.now()
	var answer wire.NumberAnswer
	if a.call(ctx, "/v1/numbers/"+name, struct{}{}, &answer) == http.StatusOK {
		number := check.Number{Name: name, Value: answer.Value, SentAt: sentAt, At: a.recorder.now()}
		a.recordSeen(func(h *check.History) { h.Numbers = append(h.Numbers, number) })
	}
}

// put writes a new value to a cell. It retries until it has a clear answer, gives up or putRetryTime is over.
func (a *application) put(ctx context.Context, name string) {
	a.valueCount++
	put := &check.Put{Name: name, Value: fmt.Sprintf("%s.%d", a.name, a.valueCount), Expected: a.knownRevisions[name], SentAt: a.recorder.now()}
	defer func() { a.recordSeen(func(h *check.History) { h.Puts = append(h.Puts, put) }) }()
	for isFirst := true; isFirst || a.recorder.now()-put.SentAt < putRetryTime && pause(ctx, putPause); isFirst = false {
		var at wire.RevisionAnswer
		status := a.call(ctx, "/v1/cells/"+name+"/replace", &wire.PutCall{Value: put.Value, Expected: put.Expected}, &at)
		switch status {
		case http.StatusOK, http.StatusPreconditionFailed:
			a.knownRevisions[name] = at.Revision
			put.Answers = append(put.Answers, check.PutAnswer{At: a.recorder.now(), IsTaken: status == http.StatusOK, Revision: at.Revision})
			return
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
			if !put.IsOpen && a.draw.IntN(2) == 0 {
				put.IsGivenUp = true
				return
			}
		default:
			put.IsOpen = true
		}
	}
	put.IsOpen = true
}

func (a *application) get(ctx context.Context, name string) {
	sentAt := a.recorder.now()
	var held wire.CellAnswer
	status := a.call(ctx, "/v1/cells/"+name+"/retrieve", nil, &held)
	if status != http.StatusOK && status != http.StatusNotFound {
		return
	}
	a.knownRevisions[name] = held.Revision
	read := check.Read{Name: name, Value: held.Value, Revision: held.Revision, SentAt: sentAt, At: a.recorder.now()}
	a.recordSeen(func(h *check.History) { h.Reads = append(h.Reads, read) })
}

// watch follows the changes of a group of cells until ctx is done.
func (a *application) watch(ctx context.Context, group string) {
	var above uint64
	var givenAt time.Duration
	for pause(ctx, time.Duration(a.draw.ExpFloat64()*float64(putPause))) {
		sentAt := a.recorder.now()
		var seen wire.WatchAnswer
		path := fmt.Sprintf("/v1/watch/%s?depends-on=%d&wait-time-ms=%d", group, above, watchWait.Milliseconds())
		switch a.callWaiting(ctx, path, nil, &seen) {
		case http.StatusOK:
			watch := check.Watch{Group: group, Above: above, Events: seen.Events, Revision: seen.Revision, SentAt: sentAt, At: a.recorder.now()}
			a.recordSeen(func(h *check.History) { h.Watches = append(h.Watches, watch) })
			above, givenAt = seen.Revision, a.recorder.now()
		case http.StatusGone:
			gone := check.Gone{Group: group, Above: above, GivenAt: givenAt, SentAt: sentAt}
			a.recordSeen(func(h *check.History) { h.Gone = append(h.Gone, gone) })
			above = 0
		}
	}
}

// coordinationFaults is the oracle of locks, numbers and cells.
func coordinationFaults(h *History) []Violation {
	found, _ := check.Judge(&h.Applications, historySeconds*time.Second)
	violations := make([]Violation, 0, len(found))
	for _, violation := range found {
		violations = append(violations, Violation{Oracle: OracleCoordination, At: violation.At, Text: violation.Oracle + ": " + violation.Text})
	}
	return violations
}
