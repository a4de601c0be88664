// Package response writes the answers of the project's HTTP interfaces.
package response

import (
	"encoding/json"
	"net/http"
	"strconv"
)

type Reply struct {
	Status     int
	Body       []byte
	RetryAfter int
}

func Empty(status int) Reply { return Reply{Status: status} }

func Text(status int, why string) Reply {
	body, err := json.Marshal(map[string]string{"error-text": why})
	if err != nil {
		return Reply{Status: status}
	}
	return Reply{Status: status, Body: body}
}

func Raw(status int, body []byte) Reply { return Reply{Status: status, Body: body} }

func Later(status int, seconds int, why string) Reply {
	answer := Text(status, why)
	answer.RetryAfter = seconds
	return answer
}

// Write sends the answer; one without a status says that whoever made it gave none.
func (r Reply) Write(to http.ResponseWriter) {
	if r.Status == 0 {
		r = Text(http.StatusBadGateway, "there was no answer")
	}
	if len(r.Body) > 0 {
		to.Header().Set("Content-Type", "application/json")
	}
	if r.RetryAfter > 0 {
		to.Header().Set("Retry-After", strconv.Itoa(r.RetryAfter))
	}
	to.Header().Set("Content-Length", strconv.Itoa(len(r.Body)))
	to.WriteHeader(r.Status)
	if len(r.Body) > 0 {
		to.Write(r.Body)
	}
}
