package eventstream_test

import (
	"errors"
	"io"
	"strings"
	"testing/iotest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"gannetline/internal/platform/eventstream"
)

// read gives the bytes, IDs and data of all events, and how the series ended.
func read(from io.Reader) (raw, ids, data []string, end error) {
	events := eventstream.NewReader(from)
	for {
		event, err := events.Next()
		if err != nil {
			return raw, ids, data, err
		}
		raw, ids, data = append(raw, string(event.Raw)), append(ids, event.ID), append(data, string(event.Data))
	}
}

var _ = Describe("a series of events", func() {
	It("is read event by event, with the bytes as they came, however they come", func() {
		text := "id: 1\ndata: one\n\nversions: 2\nid:2\ndata:two\ndata: lines\n\n: a comment\n\n"
		for _, from := range []io.Reader{strings.NewReader(text), iotest.OneByteReader(strings.NewReader(text))} {
			raw, ids, data, end := read(from)
			Expect(strings.Join(raw, "")).To(Equal(text))
			Expect(raw).To(HaveLen(3))
			Expect(ids).To(Equal([]string{"1", "2", ""}))
			Expect(data).To(Equal([]string{"one", "two\nlines", ""}))
			Expect(end).To(MatchError(io.EOF))
		}
	})

	It("takes lines that end with a carriage return, and lines longer than its buffer", func() {
		long := strings.Repeat("x", 10000)
		_, ids, data, end := read(strings.NewReader("id: 7\r\ndata: " + long + "\r\n\r\n"))
		Expect(ids).To(Equal([]string{"7"}))
		Expect(data).To(Equal([]string{long}))
		Expect(end).To(MatchError(io.EOF))
	})

	It("tells an end within an event, an error of the source, and an event without end", func() {
		raw, _, _, end := read(strings.NewReader("id: 1\ndata: a\n\nid: 2\ndata: b\n"))
		Expect(raw).To(HaveLen(1))
		Expect(end).To(MatchError(eventstream.ErrCutEvent))
		broken := errors.New("broken")
		_, _, _, end = read(io.MultiReader(strings.NewReader("id: 1\n"), iotest.ErrReader(broken)))
		Expect(end).To(MatchError(broken))
		_, _, _, end = read(strings.NewReader("data: " + strings.Repeat("x", 2<<20)))
		Expect(end).To(MatchError(eventstream.ErrTooLarge))
	})
})
