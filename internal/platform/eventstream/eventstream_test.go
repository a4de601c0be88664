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

// readAll returns the bytes, IDs and data of all events, and the error at the end of the stream.
func readAll(source io.Reader) (raw, ids, data []string, finalError error) {
	events := eventstream.NewReader(source)
	for {
		event, err := events.Next()
		if err != nil {
			return raw, ids, data, err
		}
		raw, ids, data = append(raw, string(event.Raw)), append(ids, event.ID), append(data, string(event.Data))
	}
}

var _ = Describe("Reader", func() {
	It("reads event by event and keeps the original bytes, also if they arrive one by one", func() {
		text := "id: 1\ndata: one\n\nversions: 2\nid:2\ndata:two\ndata: lines\n\n: a comment\n\n"
		for _, source := range []io.Reader{strings.NewReader(text), iotest.OneByteReader(strings.NewReader(text))} {
			raw, ids, data, finalError := readAll(source)
			Expect(strings.Join(raw, "")).To(Equal(text))
			Expect(raw).To(HaveLen(3))
			Expect(ids).To(Equal([]string{"1", "2", ""}))
			Expect(data).To(Equal([]string{"one", "two\nlines", ""}))
			Expect(finalError).To(MatchError(io.EOF))
		}
	})

	It("accepts lines that end with CR LF, and lines longer than its buffer", func() {
		long := strings.Repeat("x", 10000)
		_, ids, data, finalError := readAll(strings.NewReader("id: 7\r\ndata: " + long + "\r\n\r\n"))
		Expect(ids).To(Equal([]string{"7"}))
		Expect(data).To(Equal([]string{long}))
		Expect(finalError).To(MatchError(io.EOF))
	})

	It("returns an error for an end within an event, an error of the source, and an event that is too large", func() {
		raw, _, _, finalError := readAll(strings.NewReader("id: 1\ndata: a\n\nid: 2\ndata: b\n"))
		Expect(raw).To(HaveLen(1))
		Expect(finalError).To(MatchError(eventstream.ErrTruncatedEvent))
		broken := errors.New("broken")
		_, _, _, finalError = readAll(io.MultiReader(strings.NewReader("id: 1\n"), iotest.ErrReader(broken)))
		Expect(finalError).To(MatchError(broken))
		_, _, _, finalError = readAll(strings.NewReader("data: " + strings.Repeat("x", 2<<20)))
		Expect(finalError).To(MatchError(eventstream.ErrTooLarge))
	})
})
