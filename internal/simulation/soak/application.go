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
	// applicationRandomStream is the random stream of the first application; the next ones use the streams after it.
	applicationRandomStream = 2000
	// applicationCount is the number of applications that make calls, and the number of further applications that watch a group
	// of cells each.
	applicationCount = 4
	// The numbers of locks, numbers, groups, and cells of each group. They are small, so that applications contend for them.
	lockCount, numberCount, groupCount, cellCount = 4, 2, 2, 4
	// meanCallPause is the mean time between two calls of an application.
	meanCallPause = 120 * time.Millisecond
	// coordinationTimeout is the timeout of a call to one steward.
	coordinationTimeout = time.Second
	// putRetryTime is the time in which a put without a definite answer is retried. putPause is the time between two attempts, and
	// the mean time between two watches.
	putRetryTime = 5 * time.Second
	putPause     = 80 * time.Millisecond
	// The range of the time for which a lock is requested, and the maximum number of renewals.
	minHold, maxHold = 400 * time.Millisecond, 4 * time.Second
	maxRenewals      = 5
	// The percentages of holders that sleep beyond the end of their hold, and that stop at once. Neither release the lock.
	sleepPercent, stopPercent = 10, 10
	// watchWait is the time for which a steward may hold back the answer to a watch until a cell changes.
	watchWait = 2 * time.Second
	// historySeconds is the time for which the stewards keep the history of revisions, as written into the settings.
	historySeconds = 20
)

// application calls the stewards for locks, numbers and cells like an application of a user. valueCount is the number of values
// that it has put so far. knownRevisions holds the last revision that it has seen of each cell.
type application struct {
	*soak
	name           string
	client         *http.Client
	random         *rand.Rand
	valueCount     int
	knownRevisions map[string]uint64
}

func newApplication(s *soak, number int) *application {
	return &application{soak: s, name: fmt.Sprintf("a%d", number), client: &http.Client{Timeout: coordinationTimeout + watchWait},
		random: rand.New(rand.NewPCG(s.options.Seed, uint64(applicationRandomStream+number))), knownRevisions: map[string]uint64{}}
}

// startApplications starts applications that make calls and applications that watch cells. They run until ctx is done.
func (s *soak) startApplications(ctx context.Context, running *sync.WaitGroup) {
	for number := range applicationCount {
		running.Go(func() { newApplication(s, number).run(ctx) })
		running.Go(func() { newApplication(s, applicationCount+number).watch(ctx, groupName(number%groupCount)) })
	}
}

func groupName(number int) string { return fmt.Sprintf("g%d.", number) }

// record applies a change to the history of applications.
func (a *application) record(change func(*check.History)) {
	a.recorder.write(func(h *History) { change(&h.Applications) })
}

// run makes one random call after another until ctx is done.
func (a *application) run(ctx context.Context) {
	for pause(ctx, time.Duration(a.random.ExpFloat64()*float64(meanCallPause)/a.options.pace())) {
		cell := groupName(a.random.IntN(groupCount)) + strconv.Itoa(a.random.IntN(cellCount))
		switch roll := a.random.IntN(100); {
		case roll < 40:
			a.holdLock(ctx, fmt.Sprintf("l%d", a.random.IntN(lockCount)))
		case roll < 55:
			a.takeNumber(ctx, fmt.Sprintf("n%d", a.random.IntN(numberCount)))
		case roll < 85:
			a.put(ctx, cell)
		default:
			a.get(ctx, cell)
		}
	}
}

// call sends one call to a random steward, as a POST if there is a body. The status is 0 if no answer came in time, or if the
// answer could not be decoded into result.
func (a *application) call(ctx context.Context, path string, body, result any) int {
	ctx, cancel := context.WithTimeout(ctx, coordinationTimeout)
	defer cancel()
	return a.callWaiting(ctx, path, body, result)
}

// callWaiting is like call, but with a timeout that is longer by watchWait, as the steward may hold back the answer.
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

// drawSteward returns the URL of a random steward that hasn't ended.
func (a *application) drawSteward() string {
	stewards := a.cluster.stewards()
	if len(stewards) == 0 {
		return "http://" + endpoint(a.layout.Stewards[0].IP, controlPort)
	}
	return "http://" + endpoint(stewards[a.random.IntN(len(stewards))].node.IP, controlPort)
}

// holdLock acquires a lock and renews it a few times. Then it releases the lock, or returns without a release: at once, or after
// it has slept beyond the end of the hold.
func (a *application) holdLock(ctx context.Context, lock string) {
	length := minHold + time.Duration(a.random.Int64N(int64(maxHold-minHold)))
	path, sentAt := "/v1/locks/"+lock, a.recorder.now()
	var granted wire.LockAnswer
	if a.call(ctx, path+"/initiate", &wire.LockCall{Holder: a.name, HoldMs: length.Milliseconds()}, &granted) != http.StatusOK {
		return
	}
	hold := &check.Hold{Lock: lock, Holder: a.name, Fence: granted.Fence, SentAt: sentAt, From: a.recorder.now(), To: sentAt + length}
	renewals, roll := a.random.IntN(maxRenewals+1), a.random.IntN(100)
	for range renewals {
		if !pause(ctx, time.Duration(a.random.Int64N(int64(length)))) || !a.renew(ctx, hold, length) {
			break
		}
	}
	if roll < sleepPercent {
		pause(ctx, 2*length)
	}
	// The hold ends before its release is sent.
	hold.To = min(hold.To, a.recorder.now())
	a.record(func(h *check.History) { h.Holds = append(h.Holds, *hold) })
	if roll >= sleepPercent+stopPercent {
		a.call(ctx, path+"/terminate", &wire.LockCall{Holder: a.name, Fence: hold.Fence}, nil)
	}
}

// renew tries once to renew the hold. It returns false if the lock is lost or the hold has ended. An answer that comes after the
// end of the hold doesn't extend it.
func (a *application) renew(ctx context.Context, hold *check.Hold, length time.Duration) bool {
	sentAt := a.recorder.now()
	body := &wire.LockCall{Holder: a.name, Fence: hold.Fence, HoldMs: length.Milliseconds()}
	status := a.call(ctx, "/v1/locks/"+hold.Lock+"/heartbeat", body, nil)
	now := a.recorder.now()
	switch {
	case status == http.StatusOK && now < hold.To:
		hold.To = max(hold.To, sentAt+length)
	case status == http.StatusConflict:
		hold.To = min(hold.To, now)
		return false
	}
	return now < hold.To
}

func (a *application) takeNumber(ctx context.Context, name string) {
	sentAt := a.recorder.now()
	var answer wire.NumberAnswer
	if a.call(ctx, "/v1/numbers/"+name, struct{}{}, &answer) == http.StatusOK {
		number := check.Number{Name: name, Value: answer.Value, SentAt: sentAt, At: a.recorder.now()}
		a.record(func(h *check.History) { h.Numbers = append(h.Numbers, number) })
	}
}

// put writes a new value to a cell. It retries until it has a definite answer, gives up or putRetryTime is over. Only a put whose
// attempts were all refused as not carried out may give up.
func (a *application) put(ctx context.Context, name string) {
	a.valueCount++
	put := &check.Put{Name: name, Value: fmt.Sprintf("%s.%d", a.name, a.valueCount), Expected: a.knownRevisions[name], SentAt: a.recorder.now()}
	defer func() { a.record(func(h *check.History) { h.Puts = append(h.Puts, put) }) }()
	for isFirst := true; isFirst || a.recorder.now()-put.SentAt < putRetryTime && pause(ctx, putPause); isFirst = false {
		var answer wire.RevisionAnswer
		status := a.call(ctx, "/v1/cells/"+name+"/replace", &wire.PutCall{Value: put.Value, Expected: put.Expected}, &answer)
		switch status {
		case http.StatusOK, http.StatusPreconditionFailed:
			a.knownRevisions[name] = answer.Revision
			put.Answers = append(put.Answers, check.PutAnswer{At: a.recorder.now(), IsTaken: status == http.StatusOK, Revision: answer.Revision})
			return
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
			if !put.IsOpen && a.random.IntN(2) == 0 {
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
	var answer wire.CellAnswer
	status := a.call(ctx, "/v1/cells/"+name+"/retrieve", nil, &answer)
	if status != http.StatusOK && status != http.StatusNotFound {
		return
	}
	a.knownRevisions[name] = answer.Revision
	read := check.Read{Name: name, Value: answer.Value, Revision: answer.Revision, SentAt: sentAt, At: a.recorder.now()}
	a.record(func(h *check.History) { h.Reads = append(h.Reads, read) })
}

// watch follows the changes of a group of cells until ctx is done. It starts anew if the changes after its last revision are no
// longer kept.
func (a *application) watch(ctx context.Context, group string) {
	var above uint64
	var givenAt time.Duration
	for pause(ctx, time.Duration(a.random.ExpFloat64()*float64(putPause))) {
		sentAt := a.recorder.now()
		var answer wire.WatchAnswer
		path := fmt.Sprintf("/v1/watch/%s?depends-on=%d&wait-time-ms=%d", group, above, watchWait.Milliseconds())
		switch a.callWaiting(ctx, path, nil, &answer) {
		case http.StatusOK:
			watch := check.Watch{Group: group, Above: above, Events: answer.Events, Revision: answer.Revision, SentAt: sentAt, At: a.recorder.now()}
			a.record(func(h *check.History) { h.Watches = append(h.Watches, watch) })
			above, givenAt = answer.Revision, a.recorder.now()
		case http.StatusGone:
			gone := check.Gone{Group: group, Above: above, GivenAt: givenAt, SentAt: sentAt}
			a.record(func(h *check.History) { h.Gone = append(h.Gone, gone) })
			above = 0
		}
	}
}

// coordinationViolations is the oracle of locks, numbers and cells.
func coordinationViolations(h *History) []Violation {
	found, _ := check.Judge(&h.Applications, historySeconds*time.Second)
	violations := make([]Violation, 0, len(found))
	for _, violation := range found {
		violations = append(violations, Violation{Oracle: OracleCoordination, At: violation.At, Text: violation.Oracle + ": " + violation.Text})
	}
	return violations
}
