package metrics

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
)

// maxPageBytes is the number of bytes of a metrics page that are read at most. The rest is ignored.
const maxPageBytes = 4 << 20

// Samples holds the metric values of one process by series, that is by name and labels as written on the page.
type Samples map[string]float64

// Parse parses a metrics page in the Prometheus text format. An error names the malformed line.
func Parse(body io.Reader) (Samples, error) {
	samples := Samples{}
	lines := bufio.NewScanner(body)
	for number := 1; lines.Scan(); number++ {
		line := strings.TrimSpace(lines.Text())
		if line == "" || line[0] == '#' {
			continue
		}
		separator := strings.LastIndexByte(line, ' ')
		if separator < 1 {
			return nil, errors.Errorf("line %d of the metrics page has no metric: %q", number, line)
		}
		value, err := strconv.ParseFloat(line[separator+1:], 64)
		if err != nil {
			return nil, errors.Errorf("line %d of the metrics page has no numeric value: %q", number, line)
		}
		samples[strings.TrimSpace(line[:separator])] = value
	}
	return samples, errors.Annotate(lines.Err(), "reading the metrics page")
}

// Own returns the metrics of this process that are not zero.
func Own() Samples {
	var body bytes.Buffer
	Write(&body)
	samples, err := Parse(&body)
	if err != nil {
		return Samples{}
	}
	for name, value := range samples {
		if value == 0 {
			delete(samples, name)
		}
	}
	return samples
}

// Fetch requests the metrics page of the process at an internal address.
func Fetch(client *http.Client, address string, timeout time.Duration) (Samples, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+Path, nil)
	if err != nil {
		return nil, errors.Annotatef(err, "metrics of %s", address)
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, errors.Annotatef(err, "metrics of %s", address)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Errorf("metrics of %s: status %d; is that a process's internal address?", address, response.StatusCode)
	}
	samples, err := Parse(io.LimitReader(response.Body, maxPageBytes))
	return samples, errors.Annotatef(err, "metrics of %s", address)
}
