package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// letterBytes is the mean size of the body of an escalation-letter on the site's sheet.
	letterBytes = 12_000
	// crowdBytes is about what each client of the crowd sends.
	crowdBytes = 24_000
	// deniedFloor and deniedShare are what the rule allows: so many, and one in so many of all requests.
	deniedFloor, deniedShare = 5, 500
)

// crowdSizes has the sizes of the chunks that the crowd sends, each client chunks of one size.
var crowdSizes = []int{1, 16, 256, 4096}

// deniedLetters has a crowd of clients each send most of a small body in large or very small chunks to one host, and stay there. Meanwhile
// other clients send letters there.
func deniedLetters(w *world) (broken bool, err error) {
	const hosts, engines, clients, crowd = 2, 9, 14, 600
	if err := w.startServers(engines, func(_ int, s *server) {
		s.service, s.slots, s.events, s.first, s.gap = "redacao", 10, 5, 60*time.Millisecond, 20*time.Millisecond
	}); err != nil {
		return false, err
	}
	if err := w.startHosts(hosts); err != nil {
		return false, err
	}
	h := w.hosts[0]
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var tasks sync.WaitGroup
	var mu sync.Mutex
	var letters []*attempt
	for range clients {
		tasks.Go(func() {
			for ctx.Err() == nil {
				a := w.sendLetter(h)
				w.note("letter: %v, signature %q", a, a.header.Get(wire.Signature))
				mu.Lock()
				letters = append(letters, a)
				mu.Unlock()
				time.Sleep(400 * time.Millisecond)
			}
		})
	}
	answers := make(map[string]int) // to the crowd
	time.Sleep(3 * time.Second)
	if w.trouble {
		w.note("%d clients begin to send bodies in chunks to %s", crowd, h.name)
		for i := range crowd {
			tasks.Go(func() {
				time.Sleep(time.Duration(3*i) * time.Millisecond)
				for ctx.Err() == nil {
					size := crowdSizes[i%len(crowdSizes)]
					answer := w.sendChunks(ctx, h, size)
					mu.Lock()
					answers[fmt.Sprintf("chunks of %d bytes: %q", size, answer)]++
					mu.Unlock()
				}
			})
		}
	}
	time.Sleep(12 * time.Second)
	cancel()
	tasks.Wait()
	denied, served, others := 0, 0, 0
	for what, n := range answers {
		w.note("%d clients of the crowd, %s", n, what)
		others += n
	}
	for _, a := range letters {
		switch {
		case a.status >= 300 && a.status < 500 && a.header.Get(wire.Signature) == "" && !isPromise(a.status):
			denied++
		case a.status == http.StatusOK && a.whole:
			served++
		}
	}
	allowed := float64(deniedFloor) + float64(len(letters)+others)/deniedShare
	w.note("%d letters, %d served, %d denied with a status of the host's own that is no promise; %d requests of the crowd; allowed are %.1f", len(letters), served, denied,
		others, allowed)
	return float64(denied) > allowed, nil
}

// sendLetter sends a letter on a new connection, header and body at once, and reads its answer.
func (w *world) sendLetter(h *host) *attempt {
	a := &attempt{id: newID(), host: h}
	c, err := net.DialTimeout("tcp", h.front, connectTimeout)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = c.Close() }()
	body := strings.Repeat("letter ", letterBytes/7)
	request := fmt.Sprintf("POST /letter/2f HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: m\r\n%s: 6670,25\r\n%s: 5c1e07a2:60,%s:6610\r\n%s: 15000\r\nAuthorization: %s%s\r\nContent-Length: %d\r\n\r\n%s",
		siteHost, wire.RequestID, a.id, wire.Model, wire.Tokens, wire.Parts, a.id[:8], wire.Deadline, wire.KeyScheme, apiKey, len(body), body)
	if err := c.SetDeadline(time.Now().Add(15 * time.Second)); err != nil {
		a.err = err
		return a
	}
	if _, err := io.WriteString(c, request); err != nil {
		a.err = err
		return a
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = response.Body.Close() }()
	a.status, a.header = response.StatusCode, response.Header
	a.read(response)
	return a
}

// isPromise reports whether a status promises that the request has not run.
func isPromise(status int) bool {
	_, promise := (&attempt{status: status}).refused()
	return promise
}

// sendChunks sends most of a body in chunks of a size, and stays until the host closes the connection. It returns the begin of the answer.
func (w *world) sendChunks(ctx context.Context, h *host, size int) string {
	dialer := net.Dialer{Timeout: connectTimeout}
	c, err := dialer.DialContext(ctx, "tcp", h.front)
	if err != nil {
		time.Sleep(defaultPause)
		return "not connected"
	}
	defer func() { _ = c.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	chunk := fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("b", size))
	if _, err := fmt.Fprintf(c, "POST /confirm/2f HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 30000\r\nAuthorization: %s%s\r\nTransfer-Encoding: chunked\r\n\r\n%s",
		siteHost, wire.RequestID, newID(), wire.Deadline, wire.KeyScheme, crowdKey, strings.Repeat(chunk, crowdBytes/len(chunk))); err != nil {
		return "cut while it sent"
	}
	answer, _ := io.ReadAll(c) // whatever ends it, the connection is over
	line, _, _ := strings.Cut(string(answer), "\r\n")
	time.Sleep(time.Second)
	return line
}
