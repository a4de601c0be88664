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

// maxAnswerBytes is in bytes.
const maxAnswerBytes = 4 << 20

// Client calls the executor of its own machine.
type Client struct {
	http *http.Client
	base string
}

// NewClient makes a client for the executor at an address, IP:PORT.
func NewClient(client *http.Client, address string) *Client {
	return &Client{http: client, base: "http://" + address}
}

// Call posts a message to the executor, to the incarnation with this ID only, and gives the status and what it says. An
// error means that nobody knows what was done; it names the path and the executor.
func (c *Client) Call(ctx context.Context, path, executor string, limit time.Duration, message easyjson.Marshaler) (int, Answer, error) {
	status, answer, err := c.call(ctx, path, executor, limit, message)
	result := "error"
	if err == nil {
		result = strconv.Itoa(status)
	}
	calls.With(path, result).Inc()
	return status, answer, err
}

// call posts a message to the executor and returns the status with the answer. An answer that can't be read is an error
// only with status 200, as others may come with a plain text.
func (c *Client) call(ctx context.Context, path, executor string, limit time.Duration, message easyjson.Marshaler) (int, Answer, error) {
	var answer Answer
	body, err := easyjson.Marshal(message)
	if err != nil {
		return 0, answer, errors.Annotate(err, "writing a call")
	}
	request, err := sling.New().Base(c.base).Post(path).Body(bytes.NewReader(body)).
		Set("Content-Type", "application/json").Set(headers.ExpectedExecutor, executor).Request()
	if err != nil {
		return 0, answer, errors.Annotate(err, "making a call")
	}
	sentBytes.With(path).Add(len(body))
	ctx, release := context.WithTimeout(ctx, limit)
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
