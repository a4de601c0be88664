package executorapi

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/dghubble/sling"
	"github.com/juju/errors"
	"github.com/mailru/easyjson"

	"gannetline/internal/platform/headers"
)

// maxAnswerBytes is the maximum size of an executor's answer; the rest of a longer one is not read.
const maxAnswerBytes = 4 << 20

// Client calls the executor on the same machine.
type Client struct {
	http *http.Client
	base string
}

// NewClient returns a client for the executor at an address, IP:PORT.
func NewClient(client *http.Client, address string) *Client {
	return &Client{http: client, base: "http://" + address}
}

// Call posts a message to the executor, for the incarnation with the ID executor, and returns the status and the answer. After an error,
// the executor may have handled the call, unless peerapi.NeverSent(err) is true. The error names the path and the incarnation, unless the
// call could not be built.
func (c *Client) Call(ctx context.Context, path, executor string, timeout time.Duration, message easyjson.Marshaler) (int, Answer, error) {
	status, answer, err := c.call(ctx, path, executor, timeout, message)
	result := "error"
	if err == nil {
		result = strconv.Itoa(status)
	}
	calls.With(path, result).Inc()
	return status, answer, err
}

// call is Call without the count in the metrics. An answer that can't be decoded is an error only with status 200, as the body of other
// answers may be plain text.
func (c *Client) call(ctx context.Context, path, executor string, timeout time.Duration, message easyjson.Marshaler) (int, Answer, error) {
	var answer Answer
	body, err := easyjson.Marshal(message)
	if err != nil {
		return 0, answer, errors.Annotate(err, "encoding a call to the executor")
	}
	request, err := sling.New().Base(c.base).Post(path).Body(bytes.NewReader(body)).
		Set("Content-Type", "application/json").Set(headers.ExpectedExecutor, executor).Request()
	if err != nil {
		return 0, answer, errors.Annotate(err, "building a call to the executor")
	}
	sentBytes.With(path).Add(len(body))
	ctx, release := context.WithTimeout(ctx, timeout)
	defer release()
	response, err := c.http.Do(request.WithContext(ctx))
	if err != nil {
		return 0, answer, errors.Annotatef(err, "%s at executor %s", path, executor)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return 0, answer, errors.Annotatef(err, "%s at executor %s", path, executor)
	}
	receivedBytes.With(path).Add(len(text))
	if len(text) > 0 {
		if err := easyjson.Unmarshal(text, &answer); err != nil && response.StatusCode == http.StatusOK {
			return 0, answer, errors.Annotatef(err, "%s at executor %s", path, executor)
		}
	}
	return response.StatusCode, answer, nil
}
