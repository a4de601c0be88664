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

const maxPageBytes = 4 << 20

// Samples are the values of one process, by series.
type Samples map[string]float64

// Parse reads the exposition format; it says which line it can't read.
func Parse(body io.Reader) (Samples, error) {
	all := Samples{}
	lines := bufio.NewScanner(body)
	for number := 1; lines.Scan(); number++ {
		line := strings.TrimSpace(lines.Text())
		if line == "" || line[0] == '#' {
			continue
		}
		place := strings.LastIndexByte(line, ' ')
		if place < 1 {
			return nil, errors.Errorf("line %d is no metric: %q", number, line)
		}
		value, err := strconv.ParseFloat(line[place+1:], 64)
		if err != nil {
			return nil, errors.Errorf("line %d has no value: %q", number, line)
		}
		all[strings.TrimSpace(line[:place])] = value
	}
	return all, errors.Annotate(lines.Err(), "reading metrics")
}

// Own gives what this process counted so far, without the zeros.
func Own() Samples {
	var body bytes.Buffer
	Write(&body)
	all, err := Parse(&body)
	if err != nil {
		return Samples{}
	}
	for name, value := range all {
		if value == 0 {
			delete(all, name)
		}
	}
	return all
}

// Fetch asks the process at an internal address.
func Fetch(client *http.Client, address string, limit time.Duration) (Samples, error) {
	ctx, release := context.WithTimeout(context.Background(), limit)
	defer release()
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
	all, err := Parse(io.LimitReader(response.Body, maxPageBytes))
	return all, errors.Annotatef(err, "metrics of %s", address)
}
