package scalerun

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"gonum.org/v1/gonum/stat"

	"gannetline/internal/simulation/hollow"
)

// Spread is a few points of a distribution, in milliseconds.
type Spread struct {
	Count int     `json:"count"`
	Half  float64 `json:"p50"`
	Most  float64 `json:"p95"`
	Rare  float64 `json:"p99"`
	Worst float64 `json:"worst"`
}

// SpreadOf gives the points of values in any order.
func SpreadOf(values []float64) Spread {
	if len(values) == 0 {
		return Spread{}
	}
	values = slices.Sorted(slices.Values(values))
	at := func(share float64) float64 { return stat.Quantile(share, stat.Empirical, values, nil) }
	return Spread{Count: len(values), Half: at(0.5), Most: at(0.95), Rare: at(0.99), Worst: values[len(values)-1]}
}

// Verdict is what became of the jobs; Lost, Doubled, Again and Left must be 0.
type Verdict struct {
	Jobs int `json:"jobs"`
	// Lost are tasks of accepted jobs without an end that is done, and jobs not shown as completed.
	Lost int `json:"lost"`
	// Doubled are runs of a task that overlap another; Again are starts after an end that was done.
	Doubled      int `json:"doubled"`
	StartedAgain int `json:"again"`
	// StillRunning are tasks that still ran once all was over.
	StillRunning int `json:"left"`
	Lapsed       int `json:"lapsed"`
	Stopped      int `json:"stopped"`
	Starts       int `json:"starts"`
	Examples     []string
	// ToStart and ToLast count from the first send to the first start and to the last end; ToShown to the answer that says so.
	ToStart Spread `json:"to-first-start-ms"`
	ToLast  Spread `json:"to-last-end-ms"`
	ToShown Spread `json:"to-shown-completed-ms"`
}

// IsSound tells whether nothing was lost, doubled or left.
func (v *Verdict) IsSound() bool { return v.Lost+v.Doubled+v.StartedAgain+v.StillRunning == 0 }

func (v *Verdict) note(count *int, format string, values ...any) {
	*count++
	if len(v.Examples) < 10 {
		v.Examples = append(v.Examples, fmt.Sprintf(format, values...))
	}
}

// Judge compares what clients were told with what executors did; standing jobs were cancelled.
func Judge(jobs []*Job, records []hollow.RunRecord) Verdict {
	verdict := Verdict{Jobs: len(jobs), Starts: len(records)}
	byTask := map[string][]hollow.RunRecord{}
	byJob := map[string]map[string][]hollow.RunRecord{}
	for _, record := range records {
		byTask[record.Task] = append(byTask[record.Task], record)
		id, _, _ := strings.Cut(record.Task, ".")
		if byJob[id] == nil {
			byJob[id] = map[string][]hollow.RunRecord{}
		}
		verdict.countEnd(record)
	}
	for task, runs := range byTask {
		verdict.checkTask(task, runs)
		id, _, _ := strings.Cut(task, ".")
		byJob[id][task] = byTask[task]
	}
	var toStart, toLast, toShown []float64
	for _, job := range jobs {
		if job.AcceptedMs == 0 || job.State == "cancelled" {
			continue
		}
		if job.State != "completed" {
			verdict.note(&verdict.Lost, "job %s is shown as %q", job.ID, job.State)
			continue
		}
		first, last := verdict.checkJob(job, byJob[job.ID])
		toStart, toLast = append(toStart, float64(first-job.SentMs)), append(toLast, float64(last-job.SentMs))
		toShown = append(toShown, float64(job.ShownMs-job.SentMs))
	}
	verdict.ToStart, verdict.ToLast, verdict.ToShown = SpreadOf(toStart), SpreadOf(toLast), SpreadOf(toShown)
	return verdict
}

func (v *Verdict) countEnd(record hollow.RunRecord) {
	switch record.Outcome {
	case "":
		v.note(&v.StillRunning, "task %s still runs on %s", record.Task, record.Node)
	case "lapsed":
		v.Lapsed++
	case "stopped":
		v.Stopped++
	}
}

func (v *Verdict) checkTask(task string, runs []hollow.RunRecord) {
	slices.SortFunc(runs, func(a, b hollow.RunRecord) int {
		return cmp.Or(cmp.Compare(a.StartMs, b.StartMs), cmp.Compare(a.Run, b.Run))
	})
	for place := 1; place < len(runs); place++ {
		before, after := runs[place-1], runs[place]
		switch {
		case before.EndMs == 0 || after.StartMs < before.EndMs:
			v.note(&v.Doubled, "task %s ran on %s and on %s at once", task, before.Node, after.Node)
		case before.Outcome == "done":
			v.note(&v.StartedAgain, "task %s was started on %s after it was done", task, after.Node)
		}
	}
}

func (v *Verdict) checkJob(job *Job, tasks map[string][]hollow.RunRecord) (first, last int64) {
	done := 0
	for _, runs := range tasks {
		if first == 0 || runs[0].StartMs < first {
			first = runs[0].StartMs
		}
		for _, ended := range runs {
			if ended.Outcome == "done" {
				done++
				last = max(last, ended.EndMs)
			}
		}
	}
	if done < job.Tasks {
		v.note(&v.Lost, "job %s is completed with %d of %d tasks done", job.ID, done, job.Tasks)
	}
	return first, last
}
