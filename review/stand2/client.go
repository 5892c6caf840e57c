package main

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// connectTimeout is how long a client waits for a new connection.
	connectTimeout = time.Second
	// defaultPause is the pause before a retry for which no time is named.
	defaultPause = 100 * time.Millisecond
)

// newID returns an id of a client attempt.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// piece is an event of a stream.
type piece struct {
	id   int
	data string
}

// attempt is one client attempt and what came of it.
type attempt struct {
	id     string
	host   *host
	status int
	header http.Header
	pieces []piece
	body   string
	// whole is set if the answer ended as complete.
	whole bool
	err   error
}

func (a *attempt) String() string {
	return fmt.Sprintf("attempt %s at %s: status %d, %d events, whole %t, error %v", a.id, a.host.name, a.status, len(a.pieces), a.whole, a.err)
}

// send sends one client attempt on a new connection and reads its answer.
func (w *world) send(ctx context.Context, h *host, method, path string, header map[string]string, body string) *attempt {
	a := &attempt{id: newID(), host: h}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+h.front+path, strings.NewReader(body))
	if err != nil {
		a.err = err
		return a
	}
	request.Host = siteHost
	request.Header.Set(wire.RequestID, a.id)
	request.Header.Set("Authorization", wire.KeyScheme+apiKey)
	if deadline, set := ctx.Deadline(); set {
		request.Header.Set(wire.Deadline, strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	}
	for name, value := range header {
		request.Header.Set(name, value)
	}
	transport := &http.Transport{DisableCompression: true, DialContext: (&net.Dialer{Timeout: connectTimeout}).DialContext}
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(request)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = response.Body.Close() }()
	a.status, a.header = response.StatusCode, response.Header
	a.read(response)
	return a
}

// read reads the body. Of a stream only whole events count.
func (a *attempt) read(response *http.Response) {
	reader := bufio.NewReader(response.Body)
	var event piece
	for {
		line, err := reader.ReadString('\n')
		a.body += line
		switch text := strings.TrimSuffix(line, "\n"); {
		case err != nil:
			a.whole = err.Error() == "EOF"
			if !a.whole {
				a.err = err
			}
			return
		case text == "" && event.id > 0:
			a.pieces = append(a.pieces, event)
			event = piece{}
		case strings.HasPrefix(text, "id: "):
			event.id, _ = strconv.Atoi(text[4:])
		case strings.HasPrefix(text, "data: "):
			event.data = text[6:]
		}
	}
}

// refused reports whether the answer promises that the request has not run, and for how long the client pauses.
func (a *attempt) refused() (time.Duration, bool) {
	switch a.status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		seconds, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
		if err != nil || seconds <= 0 {
			return defaultPause, true
		}
		return time.Duration(seconds * float64(time.Second)), true
	}
	return 0, false
}

// streamed is a stream over a client's attempts.
type streamed struct {
	attempts []*attempt
	pieces   []piece
	whole    bool
}

// versions returns the versions that wrote the stream's events, each once in the order in which they came.
func (s *streamed) versions() []string {
	var versions []string
	for _, p := range s.pieces {
		fields := strings.Fields(p.data)
		if version := fields[3]; len(versions) == 0 || versions[len(versions)-1] != version {
			versions = append(versions, version)
		}
	}
	return versions
}

// stream has a client ask for a stream, and take it up after a broken connection, at another host if there is one.
func (w *world) stream(h *host, path string, deadline time.Duration, retries int) *streamed {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	s := &streamed{}
	own := newID()
	begunBy := ""
	for try := 0; try <= retries && ctx.Err() == nil; try++ {
		header := map[string]string{
			wire.Model: "m", wire.Tokens: "688,290", wire.Parts: "5c1e07a2:60," + own[:8] + ":628", "Content-Type": "text/plain",
		}
		if len(s.pieces) > 0 {
			header[wire.LastEvent], header[wire.BegunBy] = strconv.Itoa(s.pieces[len(s.pieces)-1].id), begunBy
		}
		a := w.send(ctx, h, http.MethodPost, path+own, header, "draft "+own)
		s.attempts = append(s.attempts, a)
		if len(a.pieces) > 0 && begunBy == "" {
			begunBy = a.id
		}
		s.pieces = append(s.pieces, a.pieces...)
		pause, refused := a.refused()
		if a.whole && !refused {
			s.whole = a.status == http.StatusOK
			return s
		}
		if !refused {
			pause = defaultPause
		}
		time.Sleep(pause)
		h = w.anyHost()
	}
	return s
}
