package simcluster_test

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/mailru/easyjson"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/control/configleader"
	"gannetline/internal/control/coordination"
	"gannetline/internal/scheduling/tenantcount"
	"gannetline/internal/simulation/simcluster"
)

const (
	// askWindow is the time of work with questions within which all power is lost.
	askWindow = 400 * time.Millisecond
	// askInterval is the interval at which each question is asked until the power is lost, and askIntervalAfter the one after that.
	askInterval      = 2 * time.Millisecond
	askIntervalAfter = 20 * time.Millisecond
	// powerOffTime is how long all stewards are without power.
	powerOffTime = 300 * time.Millisecond
	queue        = "cover"
	otherQueue   = "other"
	cellName     = "g.cell"
)

var countKey, cellKey = tenantcount.KeyOf(0), coordination.KeyOfName(cellName)

// askedWorld is a cluster whose clients ask all the time.
type askedWorld struct {
	*harness
	history  *simcluster.History
	subjects []string
	numbers  int
	// isPowerLost ends the writes.
	isPowerLost bool
}

// ask adds a question that is asked from now on.
func (w *askedWorld) ask(subject string, call func() wire.ClientCall, read func(wire.ClientAnswer) (simcluster.Shown, bool)) {
	w.subjects = append(w.subjects, subject)
	w.history.AskAlways(simcluster.Question{Subject: subject, Call: call, Read: read}, func() time.Duration {
		if w.isPowerLost {
			return askIntervalAfter
		}
		return askInterval
	})
}

// sends returns a function that returns always the same call.
func sends(call wire.ClientCall) func() wire.ClientCall {
	return func() wire.ClientCall { return call }
}

func encode(value easyjson.Marshaler) []byte {
	body, err := easyjson.Marshal(value)
	Expect(err).NotTo(HaveOccurred())
	return body
}

// field returns a number in the JSON of an answer.
func field(body []byte, name string) int64 {
	var fields map[string]any
	Expect(json.Unmarshal(body, &fields)).To(Succeed())
	number, _ := fields[name].(float64)
	return int64(number)
}

// readField returns a reader that ranks answers by a number in them. The answer that there is nothing comes before them.
func readField(name string) func(wire.ClientAnswer) (simcluster.Shown, bool) {
	return func(answer wire.ClientAnswer) (simcluster.Shown, bool) {
		switch answer.Status {
		case http.StatusOK:
			return simcluster.Shown{Rank: field(answer.Body, name)}, true
		case http.StatusNotFound:
			return simcluster.Shown{Rank: -1}, true
		}
		return simcluster.Shown{}, false
	}
}

// readState ranks the states of a job: unknown, open, ended.
func readState(answer wire.ClientAnswer) (simcluster.Shown, bool) {
	switch body := string(answer.Body); {
	case answer.Status == http.StatusGone:
		return simcluster.Shown{}, true
	case answer.Status != http.StatusOK:
		return simcluster.Shown{}, false
	case strings.Contains(body, "queued") || strings.Contains(body, "active"):
		return simcluster.Shown{Rank: 1}, true
	default:
		return simcluster.Shown{Rank: 2, Text: body}, true
	}
}

// readVerdict ranks all final answers equally, so that none may differ from another.
func readVerdict(answer wire.ClientAnswer) (simcluster.Shown, bool) {
	isFinal := answer.Status == http.StatusOK || answer.Status == http.StatusAccepted || answer.Status == http.StatusConflict
	return simcluster.Shown{Rank: 1, Text: strconv.Itoa(answer.Status)}, isFinal
}

// askAboutJobs submits jobs that complete, fail or are cancelled in turn, and asks for their states and for the count of waiting jobs.
func (w *askedWorld) askAboutJobs() {
	const jobCount = 16
	for number := range jobCount {
		w.Events.After(time.Duration(number)*askWindow/jobCount, func() {
			w.submitJob(number, plain(1, 100))
			w.ask("job "+strconv.Itoa(number), sends(wire.ClientCall{Verb: wire.VerbState, Route: queue, ID: id(number)}), readState)
		})
		if number%3 == 2 {
			w.Events.After(time.Duration(number)*askWindow/jobCount+60*time.Millisecond, func() {
				w.CallLeader(wire.ClientCall{Verb: wire.VerbCancel, Route: queue, ID: id(number)}, func(wire.ClientAnswer) {})
			})
		}
	}
}

// askForContestedIDs submits jobs to two queues under the same ID.
func (w *askedWorld) askForContestedIDs() {
	const contests = 5
	for number := range contests {
		w.Events.After(time.Duration(number)*askWindow/contests, func() {
			for _, route := range []string{queue, otherQueue} {
				call := wire.ClientCall{Verb: wire.VerbSubmit, Route: route, ID: id(100 + number), Body: []byte(plain(1, 100)), Terms: &wire.RouteTerms{MaxAttempts: 9}}
				w.ask(fmt.Sprintf("ID %d for %s", number, route), sends(call), readVerdict)
			}
		})
	}
}

// askAboutWaitingJobs submits jobs that are cancelled one by one, and asks how many wait.
func (w *askedWorld) askAboutWaitingJobs() {
	const waiting = 20
	for number := range waiting {
		Expect(w.Submit(id(200+number), "waiting", []byte(plain(1, 100_000)), wire.RouteTerms{}, func(wire.ClientAnswer) {})).To(Succeed())
	}
	w.Run(200 * time.Millisecond)
	for number := range waiting {
		w.Events.After(time.Duration(number)*askWindow/waiting, func() {
			w.CallLeader(wire.ClientCall{Verb: wire.VerbCancel, Route: "waiting", ID: id(200 + number)}, func(wire.ClientAnswer) {})
		})
	}
	w.ask("waiting jobs", sends(wire.ClientCall{Verb: wire.VerbCount, Route: "waiting"}), func(answer wire.ClientAnswer) (simcluster.Shown, bool) {
		shown, isShown := readField("waiting-count")(answer)
		return simcluster.Shown{Rank: -shown.Rank}, isShown
	})
}

// lotBody returns the body of a lot with the given number of items.
func lotBody(lot string, items int) []byte {
	texts := make([]string, items)
	for number := range texts {
		texts[number] = fmt.Sprintf(`{"executor-id":"%s-%d","path":"/b/%d","body":"%s"}`, lot, number, number, base64.StdEncoding.EncodeToString([]byte("x")))
	}
	return []byte(`{"item-list":[` + strings.Join(texts, ",") + `]}`)
}

// askAboutLots submits lots, ends them after a while, and asks for the results and for an item that waits. Another tenant submits its lots
// under the same IDs.
func (w *askedWorld) askAboutLots() {
	const lotCount = 5
	for number := range lotCount {
		lot := id(300 + number)
		w.Events.After(time.Duration(number)*askWindow/lotCount, func() {
			for _, tenant := range []string{"a", "b"} {
				call := wire.ClientCall{Key: wire.LotsKey, Verb: wire.VerbSubmitLot, Route: simcluster.BatchRoute, ID: lot, Tenant: tenant, Body: lotBody(lot, 30)}
				w.ask(fmt.Sprintf("lot %d of %s", number, tenant), sends(call), readVerdict)
			}
			w.ask(fmt.Sprintf("results of lot %d", number), sends(wire.ClientCall{Key: wire.LotsKey, Verb: wire.VerbLotResults, ID: lot, Tenant: "a"}), readField("next-token"))
			w.ask(fmt.Sprintf("item of lot %d", number), sends(wire.ClientCall{Key: wire.LotsKey, Verb: wire.VerbLotItem, ID: lot, Tenant: "a", Item: lot + "-29"}), readItem)
		})
		w.Events.After(time.Duration(number)*askWindow/lotCount+50*time.Millisecond, func() {
			w.CallLeader(wire.ClientCall{Key: wire.LotsKey, Verb: wire.VerbEndLot, ID: lot, Tenant: "a"}, func(wire.ClientAnswer) {})
		})
	}
}

// readItem ranks the states of an item: not there, waits, doesn't wait any more.
func readItem(answer wire.ClientAnswer) (simcluster.Shown, bool) {
	switch {
	case answer.Status == http.StatusNotFound && strings.Contains(answer.Reason, "no such lot"):
		return simcluster.Shown{}, true
	case answer.Status == http.StatusOK:
		return simcluster.Shown{Rank: 1}, true
	case answer.Status == http.StatusNotFound:
		return simcluster.Shown{Rank: 2}, true
	}
	return simcluster.Shown{}, false
}

// repeat runs a function with rising numbers at an interval until the power is lost.
func (w *askedWorld) repeat(interval time.Duration, run func(number int)) {
	var next func(number int)
	next = func(number int) {
		if w.isPowerLost {
			return
		}
		run(number)
		w.Events.After(interval, func() { next(number + 1) })
	}
	next(1)
}

// askForCells writes a cell again and again, takes numbers, and asks for the cell.
func (w *askedWorld) askForCells() {
	var revision uint64
	w.repeat(10*time.Millisecond, func(number int) {
		put := &wire.PutCall{Value: strconv.Itoa(number), Expected: revision}
		w.CallLeaderOnce(wire.ClientCall{Key: cellKey, Verb: wire.VerbPut, ID: cellName, Body: encode(put)}, func(answer wire.ClientAnswer) {
			revision = uint64(field(answer.Body, "revision"))
		})
	})
	w.ask("cell", sends(wire.ClientCall{Key: cellKey, Verb: wire.VerbGet, ID: cellName}), func(answer wire.ClientAnswer) (simcluster.Shown, bool) {
		shown, isShown := readField("revision")(answer)
		shown.Text = string(answer.Body)
		return shown, isShown
	})
	w.ask("number", sends(wire.ClientCall{Key: cellKey, Verb: wire.VerbTakeNumber, ID: cellName}), func(answer wire.ClientAnswer) (simcluster.Shown, bool) {
		w.numbers++
		shown, isShown := readField("value")(answer)
		shown.Text = strconv.Itoa(w.numbers)
		return shown, isShown
	})
}

// askForVersions commits configurations and evacuations, and asks for the version and for the evacuations.
func (w *askedWorld) askForVersions() {
	var base int64
	w.repeat(25*time.Millisecond, func(number int) {
		version := int64(number)
		body := fmt.Appendf(nil, `{"config-version":%d,"route-list":[{"name":"r","host":"h","path-prefix":"/","timeout-ms":%d,"service":"s"}],"service-list":[{"name":"s"}]}`, version, number)
		w.CallLeaderOnce(wire.ClientCall{Key: configleader.Key, Verb: wire.VerbReplace, Base: base, Body: body}, func(answer wire.ClientAnswer) {
			if answer.Status == http.StatusOK {
				base = version
			}
		})
		w.CallLeaderOnce(wire.ClientCall{Key: configleader.Key, Verb: wire.VerbEvacuate, ID: "zone-" + strconv.Itoa(number)}, func(wire.ClientAnswer) {})
	})
	w.ask("version", sends(wire.ClientCall{Key: configleader.Key, Verb: wire.VerbVersion}), readField("config-version"))
	w.ask("evacuations", sends(wire.ClientCall{Key: configleader.Key, Verb: wire.VerbEvacuations}), readField("number"))
}

// askForGrants grants limits of more and more tenants to a pool, and asks for the sum of the grants.
func (w *askedWorld) askForGrants() {
	w.repeat(8*time.Millisecond, func(number int) {
		grant := &wire.GrantCall{Asker: "pool/x", Epoch: 1, Number: uint64(number),
			Tenants: []wire.TenantDemand{{Tenant: "t" + strconv.Itoa(number), Wants: wire.Capacity{CPU: simcluster.CountedLimit}}}}
		w.CallLeaderOnce(wire.ClientCall{Key: countKey, Verb: wire.VerbGrant, Body: encode(grant)}, func(wire.ClientAnswer) {})
	})
	w.ask("grants", sends(wire.ClientCall{Key: countKey, Verb: wire.VerbTenants}), func(answer wire.ClientAnswer) (simcluster.Shown, bool) {
		var report wire.TenantCountReport
		Expect(easyjson.Unmarshal(answer.Body, &report)).To(Succeed())
		granted := int64(0)
		for _, row := range report.Tenants {
			for _, share := range row.Grants {
				granted += share.Granted.CPU
			}
		}
		return simcluster.Shown{Rank: granted}, true
	})
}

// endInTurn has the jobs of askAboutJobs complete, fail, or run until they are cancelled, in turn.
func endInTurn(task string, _ int64, _ *simcluster.Executor) (time.Duration, string) {
	job, _, _ := strings.Cut(task, ".")
	number, err := strconv.ParseUint(job, 16, 64)
	Expect(err).NotTo(HaveOccurred())
	switch number % 3 {
	case 0:
		return 30 * time.Millisecond, "done"
	case 1:
		return 30 * time.Millisecond, "failed"
	}
	return time.Minute, "done"
}

// runAskedPowerLoss has clients ask the leaders of all keys all the time, cuts the power of all stewards at a time after the start of the
// work, and goes on asking once they have power again.
func runAskedPowerLoss(lossAt time.Duration, options ...simcluster.Option) *askedWorld {
	options = append(options, simcluster.WithWork(endInTurn), simcluster.WithKeys(configleader.Key, wire.LotsKey, countKey, cellKey))
	c := &harness{Cluster: simcluster.New(uint64(lossAt), 3, 3, executorCapacity, startWallMs, options...), accepted: map[string]bool{}}
	w := &askedWorld{harness: c, history: simcluster.NewHistory(c.Cluster)}
	w.Run(2 * time.Second)
	Expect(w.HasLeaders()).To(BeTrue())
	w.askForCells()
	w.askForVersions()
	w.askForGrants()
	w.askAboutWaitingJobs()
	w.askAboutJobs()
	w.askForContestedIDs()
	w.askAboutLots()
	w.Run(lossAt)
	w.isPowerLost = true
	for _, node := range w.Nodes {
		w.Kill(node)
	}
	w.Run(powerOffTime)
	w.history.Restart()
	for _, node := range w.Nodes {
		w.Start(node)
	}
	for round := 0; round < 100 && !w.HasLeaders(); round++ {
		w.Run(100 * time.Millisecond)
	}
	w.Run(askWindow + 300*time.Millisecond)
	w.history.Stop()
	return w
}

// askedLossTimes returns the times at which power is lost: every millisecond of the window if the environment variable ASKED_LOSSES is set,
// or every 23rd.
func askedLossTimes() []time.Duration {
	step := 23 * time.Millisecond
	if os.Getenv("ASKED_LOSSES") != "" {
		step = time.Millisecond
	}
	var times []time.Duration
	for at := time.Millisecond; at < askWindow; at += step {
		times = append(times, at)
	}
	return times
}

// Guards against jobs that were started again after a client had been shown that they were completed.
var _ = Describe("clients that ask all the time while all power is lost", func() {
	It("are shown nothing that is taken back", func() {
		for _, at := range askedLossTimes() {
			w := runAskedPowerLoss(at)
			Expect(w.Checker.Violations).To(BeEmpty(), "power lost after %v", at)
			for _, subject := range w.subjects {
				Expect(w.history.Answers(subject)).To(BeNumerically(">", 0), "%s, power lost after %v", subject, at)
			}
		}
	})

	for _, fault := range simcluster.AnswerFaults {
		It("are shown what is taken back, with the fault "+string(fault), func() {
			var violations []string
			for at := 200 * time.Millisecond; at < askWindow && len(violations) == 0; at += 7 * time.Millisecond {
				violations = runAskedPowerLoss(at, simcluster.WithAnswerFault(fault)).Checker.Violations
			}
			Expect(violations).NotTo(BeEmpty())
			GinkgoWriter.Println(violations[0])
		})
	}
})
