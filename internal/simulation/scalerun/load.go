package scalerun

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"gannetline/internal/cluster/configuration"
	"gannetline/internal/scheduling/jobs"
	"gannetline/internal/simulation/hollow"
)

const (
	queueLoad     = "/load/"
	queueStanding = "/standing/"
	idleRoutes    = 40
	retryPause    = 200 * time.Millisecond
	statusPause   = 500 * time.Millisecond
	retryLimit    = 30 * time.Second
	callTimeout   = 3 * time.Second
	standingFor   = time.Hour
)

// Job is one job as its client saw it, in milliseconds of the machine's clock.
type Job struct {
	ID         string `json:"id"`
	Tasks      int    `json:"tasks"`
	SentMs     int64  `json:"sent"`
	AcceptedMs int64  `json:"accepted,omitempty"`
	ShownMs    int64  `json:"shown,omitempty"`
	State      string `json:"state,omitempty"`
	Attempts   int    `json:"tries"`
}

// configuration is the version of this number: the routes of the load, idle ones, and one more for each version.
func (r *run) configuration(version int) configuration.Configuration {
	made := configuration.Configuration{Version: int64(version), Services: []configuration.Service{{Name: service, ConnectionLimit: 64, GuardsCapacity: true, Protocol: "h1"}},
		Limits: configuration.Limits{HeaderBytes: 16384, BodyBytes: 262144, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000}}
	add := func(name, prefix string, priority int) {
		made.Routes = append(made.Routes, configuration.Route{Name: name, Host: host, PathPrefix: prefix, Type: "non_idempotent", TimeoutMs: 3000,
			TargetLatencyMs: 1000, Priority: priority, Service: service, MaxAttempts: 4, StretchFactor: 2})
	}
	add("load", queueLoad, 1)
	add("standing", queueStanding, 2)
	for number := range idleRoutes {
		add(fmt.Sprintf("idle-%d", number), fmt.Sprintf("/idle-%d/", number), 1)
	}
	for number := 2; number <= version; number++ {
		add(fmt.Sprintf("new-%d", number), newPrefix(number), 1)
	}
	return made
}

func newPrefix(version int) string { return fmt.Sprintf("/new-%d/", version) }

func (r *run) call(method, url string, base int, body []byte) (int, []byte, error) {
	ctx, release := context.WithTimeout(r.ctx, callTimeout)
	defer release()
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	request.Host = host
	request.Header.Set("Content-Type", "application/json")
	if base >= 0 {
		request.Header.Set("X-Base-Version", fmt.Sprint(base))
	}
	response, err := r.client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, text, err
}

func (r *run) pause(wait time.Duration) bool {
	select {
	case <-r.ctx.Done():
		return false
	case <-time.After(wait):
		return true
	}
}

// replaceConfiguration sends a version until it is taken.
func (r *run) replaceConfiguration(version int) error {
	body, err := json.Marshal(r.configuration(version))
	if err != nil {
		return err
	}
	until := time.Now().Add(retryLimit)
	for try := 0; ; try++ {
		steward := r.layout.stewards[try%len(r.layout.stewards)]
		status, text, err := r.call(http.MethodPost, "http://"+steward.at(controlPort)+"/v1/configuration/replace", version-1, body)
		switch {
		case err == nil && status == http.StatusOK:
			r.version = version
			return nil
		case err == nil && status < 500 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests:
			return errors.Errorf("plan %d was refused with %d: %s", version, status, text)
		case time.Now().After(until):
			return errors.Errorf("plan %d was not taken in %v: %d %v", version, retryLimit, status, err)
		}
		if err := r.checkChildren(); err != nil {
			return err
		}
		if !r.pause(retryPause) {
			return r.ctx.Err()
		}
	}
}

// changeConfiguration sends the next version and tells how long after the acknowledgement each gate obeys it.
func (r *run) changeConfiguration() ([]time.Duration, error) {
	version := r.version + 1
	if err := r.replaceConfiguration(version); err != nil {
		return nil, err
	}
	acked := time.Now()
	waits := make(chan time.Duration, len(r.layout.gates))
	for _, gate := range r.layout.gates {
		go func() {
			for {
				status, _, err := r.call(http.MethodGet, "http://"+gate.at(frontPort)+newPrefix(version), -1, nil)
				isObeyed := err == nil && status != http.StatusNotFound
				if isObeyed || time.Since(acked) > retryLimit || !r.pause(20*time.Millisecond) {
					waits <- time.Since(acked)
					return
				}
			}
		}()
	}
	var all []time.Duration
	for range r.layout.gates {
		all = append(all, <-waits)
	}
	return all, nil
}

func (r *run) gate(number int) string {
	return "http://" + r.layout.gates[number%len(r.layout.gates)].at(frontPort)
}

func jobID(size int, kind, number int) string { return fmt.Sprintf("%04x%04x%08x", size, kind, number) }

// submit sends a job until it is accepted, refused for good, or retryLimit is over.
func (r *run) submit(job *Job, queue string, number int, load hollow.Load) error {
	body, err := json.Marshal(jobs.Spec{Descriptor: load.Descriptor(),
		Steps: []jobs.Step{{Tasks: job.Tasks, CPU: load.CPU, Memory: load.MemoryMB, EstimatedMs: load.Length.Milliseconds()}}})
	if err != nil {
		return err
	}
	job.SentMs = time.Now().UnixMilli()
	until := time.Now().Add(retryLimit)
	for {
		job.Attempts++
		status, text, err := r.call(http.MethodPost, r.gate(number+job.Attempts-1)+queue+job.ID, -1, body)
		switch {
		case err == nil && status < 300:
			job.AcceptedMs = time.Now().UnixMilli()
			return nil
		case err == nil && status < 500 && status != http.StatusTooManyRequests:
			return errors.Errorf("job %s was refused with %d: %s", job.ID, status, text)
		case time.Now().After(until):
			return errors.Errorf("job %s was not accepted in %v: %d %v", job.ID, retryLimit, status, err)
		}
		if !r.pause(retryPause) {
			return r.ctx.Err()
		}
	}
}

// follow asks for a job's state until it is over or the run is late.
func (r *run) follow(job *Job, queue string, number int, until time.Time) {
	for time.Now().Before(until) {
		status, text, err := r.call(http.MethodGet, r.gate(number)+queue+job.ID, -1, nil)
		var shown struct {
			State string `json:"executor-state"`
		}
		if err == nil && status == http.StatusOK && json.Unmarshal(text, &shown) == nil {
			job.State = shown.State
		}
		if job.State == "completed" || job.State == "failed" || job.State == "cancelled" {
			job.ShownMs = time.Now().UnixMilli()
			return
		}
		if !r.pause(statusPause) {
			return
		}
	}
}

func (r *run) cancel(job *Job, queue string, number int) error {
	until := time.Now().Add(retryLimit)
	for try := 0; ; try++ {
		status, _, err := r.call(http.MethodDelete, r.gate(number+try)+queue+job.ID, -1, nil)
		if err == nil && status == http.StatusOK {
			job.State = "cancelled"
			return nil
		}
		if time.Now().After(until) || !r.pause(retryPause) {
			return errors.Errorf("job %s could not be cancelled: %d %v", job.ID, status, err)
		}
	}
}

type outcome struct {
	job *Job
	err error
}

// offer hands in jobs at an even rate and gives back what became of them; each is followed to its end if it should end.
func (r *run) offer(count int, perSecond float64, submitOne func(number int) (*Job, error)) ([]*Job, error) {
	results := make(chan outcome, count)
	began := time.Now()
	for number := range count {
		due := began.Add(time.Duration(float64(number) / perSecond * float64(time.Second)))
		if !r.pause(time.Until(due)) {
			return nil, r.ctx.Err()
		}
		go func() {
			job, err := submitOne(number)
			results <- outcome{job, err}
		}()
	}
	var jobs []*Job
	var failed error
	for range count {
		result := <-results
		jobs = append(jobs, result.job)
		if result.err != nil {
			failed = result.err
		}
	}
	return jobs, failed
}
