package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

// request is one try of a caller.
type request struct {
	id, host, path, key string
	sent                time.Time
	status              int
	body                string
	err                 error
}

// clientOf returns a client that opens a new connection for each request.
func clientOf() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
}

// send sends one request to a host and waits for its answer.
func send(ctx context.Context, r *record, h *host, path, key string, deadline time.Duration) *request {
	q := &request{id: fmt.Sprintf("%016x", rand.Uint64()), host: h.name, path: path, key: key}
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	m, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.front+path, nil)
	if err != nil {
		panic(err)
	}
	m.Host = "site.example"
	m.Header.Set(names.Header["request"], q.id)
	m.Header.Set(names.Header["deadline"], strconv.Itoa(int(deadline.Milliseconds())))
	m.Header.Set("Authorization", "Token "+key)
	q.sent = time.Now()
	r.write("sent     %s %s with %s to %s", q.id, path, key, h.name)
	response, err := clientOf().Do(m)
	if err != nil {
		q.err = err
		r.write("answered %s no answer: %v", q.id, err)
		return q
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	q.status, q.body, q.err = response.StatusCode, string(data), err
	r.write("answered %s %d from %s", q.id, q.status, h.name)
	return q
}
