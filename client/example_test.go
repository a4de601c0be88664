package client_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"time"

	"github.com/juju/errors"

	"gannetline/client"
)

// newSteward returns a steward that gives a fixed answer to each path: status 412 to a put into the cell shop.full, 404 to an unknown path,
// and 200 otherwise.
func newSteward(answers map[string]string) *httptest.Server {
	return httptest.NewServer(http.HandlerFunc(func(to http.ResponseWriter, request *http.Request) {
		answer, isKnown := answers[request.URL.Path]
		to.Header().Set("Content-Type", "application/json")
		if !isKnown {
			to.WriteHeader(http.StatusNotFound)
			return
		}
		if request.URL.Path == "/v1/cells/shop.full/replace" {
			to.WriteHeader(http.StatusPreconditionFailed)
		}
		fmt.Fprint(to, answer)
	}))
}

func ExampleClient_Acquire() {
	steward := newSteward(map[string]string{"/v1/locks/nightly/initiate": `{"fence-number":7}`, "/v1/locks/nightly/terminate": `{}`})
	defer steward.Close()
	stewards, err := client.New([]string{steward.Listener.Addr().String()})
	if err != nil {
		fmt.Println(err)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	lock, err := stewards.Acquire(ctx, "nightly", 10*time.Second)
	if err != nil {
		fmt.Println(err)
		return
	}
	// The protected resource should reject fencing tokens lower than one that it has seen. lock.Context() ends before another client holds
	// the lock.
	fmt.Println("rebuild under fencing token", lock.Fence(), "while the lock is held:", lock.Context().Err() == nil)
	if err := lock.Release(ctx); err != nil {
		fmt.Println(err)
	}
	// Output: rebuild under fencing token 7 while the lock is held: true
}

func ExampleClient_Number() {
	steward := newSteward(map[string]string{"/v1/numbers/invoices": `{"value":42}`})
	defer steward.Close()
	stewards, err := client.New([]string{steward.Listener.Addr().String()})
	if err != nil {
		fmt.Println(err)
		return
	}
	number, err := stewards.Number(context.Background(), "invoices")
	fmt.Println(number, err)
	// Output: 42 <nil>
}

func ExampleClient_Put() {
	steward := newSteward(map[string]string{"/v1/cells/shop.open/replace": `{"revision":3}`, "/v1/cells/shop.full/replace": `{"revision":9}`})
	defer steward.Close()
	stewards, err := client.New([]string{steward.Listener.Addr().String()})
	if err != nil {
		fmt.Println(err)
		return
	}
	revision, err := stewards.Put(context.Background(), "shop.open", "yes", 2)
	fmt.Println(revision, err)
	// Another client has changed the second cell. Read it again before the next attempt.
	_, err = stewards.Put(context.Background(), "shop.full", "yes", 2)
	var conflict *client.ConflictError
	fmt.Println(errors.As(err, &conflict), conflict.Revision)
	// Output:
	// 3 <nil>
	// true 9
}
