package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"
)

// answer is the answer to one call. status is 0 if there was none.
type answer struct {
	status int
	body   []byte
	took   time.Duration
}

// call makes one HTTP call over a connection of its own.
func call(method, address, host, path string, headers map[string]string, body []byte, timeout time.Duration) answer {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	begun := time.Now()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return answer{}
	}
	if host != "" {
		request.Host = host
	}
	request.Header.Set("Content-Type", "application/json")
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return answer{took: time.Since(begun)}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{took: time.Since(begun)}
	}
	return answer{response.StatusCode, text, time.Since(begun)}
}

// configuration returns a configuration with routes of the given types, all to the same service unless a route names another.
type routeSpec struct {
	name, prefix, kind, service string
	attempts                    int
	extra                       map[string]any
}

const jobHost = "nony24.example"

func configurationOf(version int, services []string, bodyBytes int, routes ...routeSpec) []byte {
	list, serviceList := []map[string]any{}, []map[string]any{}
	for _, route := range routes {
		entry := map[string]any{"name": route.name, "host": jobHost, "path-prefix": route.prefix, "route-type": route.kind, "timeout-ms": 3000,
			"target-latency-ms": 1000, "priority": 1, "service": route.service, "max-attempts": route.attempts, "stretch-factor": 2.0}
		for key, value := range route.extra {
			entry[key] = value
		}
		list = append(list, entry)
	}
	for _, service := range services {
		serviceList = append(serviceList, map[string]any{"name": service, "health-path": "/health", "connection-limit": 64, "protocol": "h1",
			"tls-enabled": false, "guard-list": true})
	}
	text, _ := json.Marshal(map[string]any{"config-version": version, "route-list": list, "service-list": serviceList,
		"limits": map[string]int{"max-header-bytes": 16384, "max-body-bytes": bodyBytes, "header-timeout-ms": 3000, "idle-timeout-ms": 15000}})
	return text
}

// configure sends a configuration until a steward acknowledges it.
func (c *cluster) configure(stewards, base int, text []byte) error {
	for attempt := range 80 {
		target := c.control(attempt%stewards + 1)
		got := call("POST", target, "", "/v1/configuration/replace", map[string]string{"X-Base-Version": fmt.Sprint(base)}, text, time.Second)
		c.record.write("operator", "replace", "on", fmt.Sprint(base), "at", target, "->", fmt.Sprint(got.status))
		if got.status == 200 {
			return nil
		}
		if got.status/100 == 4 && got.status != 408 && got.status != 429 {
			return fmt.Errorf("the configuration was refused: %d %s", got.status, got.body)
		}
		time.Sleep(250 * time.Millisecond)
	}
	return fmt.Errorf("the configuration was not acknowledged")
}

// submit hands a job in like a client: after silence, a cut, a 502 or a 504 the same ID again at the next gate.
func (c *cluster) submit(gates int, prefix, id string, job []byte, tries int) int {
	status := 0
	for attempt := range tries {
		target := c.front(attempt%gates + 1)
		got := call("POST", target, jobHost, prefix+id, map[string]string{"X-Time-Remaining": "3000"}, job, 3*time.Second)
		status = got.status
		c.record.write("client", "POST", prefix+id, "at", target, "->", fmt.Sprint(status), got.took.Round(time.Millisecond).String())
		if status/100 == 2 || status == 400 || status == 404 || status == 413 {
			return status
		}
		time.Sleep(200 * time.Millisecond)
	}
	return status
}

// state asks for the state of a job once.
func (c *cluster) state(gate int, prefix, id string) (int, string) {
	got := call("GET", c.front(gate), jobHost, prefix+id, map[string]string{"X-Time-Remaining": "3000"}, nil, 3*time.Second)
	var decoded struct {
		State string `json:"executor-state"`
	}
	json.Unmarshal(got.body, &decoded)
	return got.status, decoded.State
}

// env returns a number from the environment, or a default.
func env(name string, value int) int {
	if number, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return number
	}
	return value
}
