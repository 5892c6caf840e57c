package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// call is a request of a client, with all its attempts.
type call struct {
	path   string
	method string
	stream bool
	tokens string
	parts  string
	// header has further fields, which are forwarded.
	header map[string]string
}

// attempt is what a client saw of one attempt.
type attempt struct {
	id, host string
	status   int
	stamp    string
	// lines are the events received, each as its id and its text.
	lines    []line
	body     string
	complete bool
	err      error
}

// line is an event of a stream.
type line struct {
	id   int
	text string
}

// newID returns the id of a new attempt.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send sends one attempt on a new connection and reads the answer. begunBy and after are set for a stream that is taken up.
func (c *call) send(log *record, h *host, left time.Duration, begunBy string, after int) attempt {
	a := attempt{id: newID(), host: h.name}
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, c.method, "http://"+h.address+c.path, nil)
	if err != nil {
		panic(err)
	}
	r.Host = siteHost
	r.Header.Set(names.RequestID, a.id)
	r.Header.Set("Authorization", names.KeyScheme+siteKey)
	r.Header.Set(names.Deadline, strconv.FormatInt(left.Milliseconds(), 10))
	for name, value := range c.header {
		r.Header.Set(name, value)
	}
	if c.stream {
		r.Header.Set(names.Model, "m")
		r.Header.Set(names.Tokens, c.tokens)
		r.Header.Set(names.Parts, c.parts+","+a.id[:8]+":500")
	}
	if begunBy != "" {
		r.Header.Set(names.TakesUp, begunBy)
		r.Header.Set(names.LastEvent, strconv.Itoa(after))
	}
	log.add("client", "request", a.id, "host", h.name, "path", c.path, "resumes", begunBy, "after", strconv.Itoa(after), "does", "sends")
	transport := &http.Transport{DisableKeepAlives: false, DisableCompression: true}
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(r)
	if err != nil {
		a.err = err
		log.add("client", "request", a.id, "error", err.Error())
		return a
	}
	defer func() { _ = response.Body.Close() }()
	a.status, a.stamp = response.StatusCode, response.Header.Get(names.Stamp)
	if c.stream && a.status < 300 {
		a.err = a.readEvents(response.Body)
	} else {
		var body []byte
		body, a.err = io.ReadAll(response.Body)
		a.body = string(body)
	}
	a.complete = a.err == nil
	last := 0
	if len(a.lines) > 0 {
		last = a.lines[len(a.lines)-1].id
	}
	log.add("client", "request", a.id, "status", strconv.Itoa(a.status), "stamp", a.stamp, "events", strconv.Itoa(len(a.lines)), "last", strconv.Itoa(last),
		"retryAfter", response.Header.Get("Retry-After"), "complete", strconv.FormatBool(a.complete))
	return a
}

// readEvents reads the events of a stream to its end.
func (a *attempt) readEvents(body io.Reader) error {
	reader := bufio.NewReader(body)
	var next line
	for {
		text, err := reader.ReadString('\n')
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		text = strings.TrimRight(text, "\n")
		switch {
		case strings.HasPrefix(text, "id: "):
			next.id, _ = strconv.Atoi(text[4:])
		case strings.HasPrefix(text, "data: "):
			next.text = text[6:]
		case text == "" && next.id > 0:
			a.lines = append(a.lines, next)
			next = line{}
		}
	}
}
