package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run to the record file, a line each with the seconds since the start.
type recorder struct {
	mutex     sync.Mutex
	file      *os.File
	startedAt time.Time
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: file, startedAt: time.Now()}, nil
}

func (r *recorder) write(parts ...string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.startedAt).Seconds(), strings.Join(parts, " "))
}

func (r *recorder) printf(format string, values ...any) {
	text := fmt.Sprintf(format, values...)
	r.write(text)
	fmt.Println(text)
}
