package swconn

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
)

// peer is a server that handles each connection with a function.
type peer struct {
	listener net.Listener
	handle   func(p *peer, c net.Conn, r *bufio.Reader)

	mu sync.Mutex
	// connections counts the accepted connections; requests holds the ids of the requests read in full.
	connections int
	requests    []string
}

func startPeer(t *testing.T, handle func(p *peer, c net.Conn, r *bufio.Reader)) *peer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &peer{listener: l, handle: handle}
	var tasks sync.WaitGroup
	tasks.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			p.mu.Lock()
			p.connections++
			p.mu.Unlock()
			t.Cleanup(func() { _ = c.Close() })
			tasks.Go(func() { p.handle(p, c, bufio.NewReader(c)) })
		}
	})
	t.Cleanup(func() { _ = l.Close() })
	return p
}

// read reads a request and returns its id. ok is false if no complete request arrived.
func (p *peer) read(r *bufio.Reader) (id string, ok bool) {
	request, err := http.ReadRequest(r)
	if err != nil {
		return "", false
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return "", false
	}
	id = request.Header.Get("Id")
	p.mu.Lock()
	p.requests = append(p.requests, id)
	p.mu.Unlock()
	return id, true
}

func (p *peer) counts() (connections, requests int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.connections, len(p.requests)
}

func answerTo(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// echo answers each request on a connection with the request's id as the body.
func echo(p *peer, c net.Conn, r *bufio.Reader) {
	for {
		id, ok := p.read(r)
		if !ok {
			return
		}
		_, _ = io.WriteString(c, answerTo(id, id))
	}
}

func newPool(p *peer) *Pool {
	return New(Config{Address: p.listener.Addr().String(), Clock: swclock.NewSystem(), DialTimeout: swclock.Second, MaxIdleTime: swclock.Minute})
}

func request(id, body string) Request {
	return Request{
		Method: http.MethodPost, Target: "/a?b=c", Host: "h", Header: http.Header{"Id": {id}}, Body: []byte(body),
		AcceptsHeader: func(h http.Header) bool { return h.Get("Id") == id },
	}
}

// exchange sends a request and reads its answer.
func exchange(pool *Pool, r Request) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	response, err := pool.Do(ctx, r)
	if err != nil {
		return "", err
	}
	defer response.Close()
	body, err := io.ReadAll(response)
	return string(body), err
}

func TestKeepsConnections(t *testing.T) {
	p := startPeer(t, echo)
	pool := newPool(p)
	for i := range 5 {
		id := fmt.Sprint(i)
		if body, err := exchange(pool, request(id, "x")); err != nil || body != id {
			t.Fatalf("request %s: body %q, error %v", id, body, err)
		}
	}
	if connections, _ := p.counts(); connections != 1 {
		t.Errorf("%d connections for sequential requests, want 1", connections)
	}
}

// TestKey checks that a connection carries one request of each key, and maxKeys requests at most.
func TestKey(t *testing.T) {
	p := startPeer(t, echo)
	pool := newPool(p)
	send := func(key uint64) {
		t.Helper()
		r := request(fmt.Sprint(key), "")
		r.Key = key
		if body, err := exchange(pool, r); err != nil || body != fmt.Sprint(key) {
			t.Fatalf("request %d: body %q, error %v", key, body, err)
		}
	}
	for key := range uint64(maxKeys) {
		send(key + 1)
	}
	if connections, _ := p.counts(); connections != 1 {
		t.Errorf("%d connections for %d requests, want 1", connections, maxKeys)
	}
	for i := range 3 {
		send(1)
		send(2)
		if connections, _ := p.counts(); connections != i+2 {
			t.Errorf("%d connections after %d more requests of each of two keys, want %d", connections, i+1, i+2)
		}
	}
}

// TestEndedRequestIsNotSent guards against work for callers that have left.
func TestEndedRequestIsNotSent(t *testing.T) {
	p := startPeer(t, echo)
	pool := newPool(p)
	if _, err := exchange(pool, request("1", "x")); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for range 20 {
		_, err := pool.Do(ctx, request("2", "x"))
		if failed := (*Error)(nil); !errors.As(err, &failed) || failed.Sent {
			t.Fatalf("error %v, want one of a request that was not sent", err)
		}
	}
	if _, err := exchange(pool, request("3", "x")); err != nil {
		t.Fatal(err)
	}
	if connections, requests := p.counts(); connections != 1 || requests != 2 {
		t.Errorf("%d connections and %d requests, want 1 and 2", connections, requests)
	}
}

// TestSecondExchange checks that a second request succeeds whichever way the
// first exchange ended, and that a connection is reused only when that is safe.
func TestSecondExchange(t *testing.T) {
	tests := []struct {
		name string
		// after is written once the connection is idle after the first answer. close closes the
		// connection after that.
		after string
		close bool
		first string
		want  string
		// connections is the number of connections that the two requests use.
		connections int
	}{
		{"kept", "", false, "", "2", 1},
		{"closed while idle", "", true, "", "2", 2},
		{"a second answer while idle", answerTo("1", "again"), false, "", "2", 2},
		{"announced close", "", false, "HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\nContent-Length: 1\r\n\r\n1", "2", 2},
		{"no time to keep", "", false, "HTTP/1.1 200 OK\r\nId: 1\r\nKeep-Alive: timeout=0\r\nContent-Length: 1\r\n\r\n1", "2", 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			idle := make(chan struct{})
			p := startPeer(t, func(p *peer, c net.Conn, r *bufio.Reader) {
				id, ok := p.read(r)
				if !ok {
					return
				}
				if id != "1" {
					_, _ = io.WriteString(c, answerTo(id, id))
					return
				}
				first := tt.first
				if first == "" {
					first = answerTo(id, id)
				}
				_, _ = io.WriteString(c, first)
				if tt.after != "" || tt.close {
					<-idle
					_, _ = io.WriteString(c, tt.after)
					if tt.close {
						_ = c.Close()
						return
					}
				}
				echo(p, c, r)
			})
			pool := newPool(p)
			if body, err := exchange(pool, request("1", "")); err != nil || body != "1" {
				t.Fatalf("first: body %q, error %v", body, err)
			}
			close(idle)
			if tt.after != "" || tt.close {
				waitUntilUnhealthy(t, pool)
			}
			if body, err := exchange(pool, request("2", "")); err != nil || body != tt.want {
				t.Errorf("second: body %q, error %v", body, err)
			}
			connections, requests := p.counts()
			if connections != tt.connections || requests != 2 {
				t.Errorf("%d connections and %d requests, want %d and 2", connections, requests, tt.connections)
			}
		})
	}
}

// waitUntilUnhealthy waits until the idle connection has something to read or is closed by the peer.
func waitUntilUnhealthy(t *testing.T, pool *Pool) {
	t.Helper()
	for start := time.Now(); time.Since(start) < time.Minute; time.Sleep(time.Millisecond) {
		pool.mu.Lock()
		healthy := len(pool.idle) == 1 && pool.idle[0].isHealthy()
		pool.mu.Unlock()
		if !healthy {
			return
		}
	}
	t.Fatal("the idle connection stayed healthy")
}

// TestForeignAnswers checks that answers to other requests that arrive before the right one are
// skipped or fail the exchange, and that the request is sent only once.
func TestForeignAnswers(t *testing.T) {
	tests := []struct {
		name         string
		otherAnswers string
		ok           bool
	}{
		{"one whole answer", answerTo("other", "x"), true},
		{"an informational answer", "HTTP/1.1 103 Early Hints\r\n\r\n", true},
		{"an answer without an end", "HTTP/1.1 200 OK\r\nId: other\r\n\r\nx", false},
		{"bytes that are no answer", "\x00\x01\x02 what\r\n\r\n", false},
		{"many", strings.Repeat(answerTo("other", "x"), maxAnswersRead), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := startPeer(t, func(p *peer, c net.Conn, r *bufio.Reader) {
				id, _ := p.read(r)
				_, _ = io.WriteString(c, tt.otherAnswers+answerTo(id, id))
				p.read(r)
			})
			body, err := exchange(newPool(p), request("1", ""))
			if tt.ok && (err != nil || body != "1") {
				t.Errorf("body %q, error %v", body, err)
			}
			if !tt.ok {
				var failed *Error
				if !errors.As(err, &failed) || !failed.Sent {
					t.Errorf("body %q, error %v", body, err)
				}
			}
			if _, requests := p.counts(); requests != 1 {
				t.Errorf("sent %d times", requests)
			}
		})
	}
}

// TestAnswerAfterCutHead guards against two heads that are read as one, if a peer breaks off within a head and writes another answer.
func TestAnswerAfterCutHead(t *testing.T) {
	first := "HTTP/1.1 200 OK\r\nDate: today\r\nId: 1\r\nServer: HTTP/1 engine\r\nContent-Length: 5\r\n\r\nfirst"
	head := strings.Index(first, "\r\n\r\n")
	second := "HTTP/1.1 500 Internal Server Error\r\nId: 1\r\nContent-Length: 6\r\n\r\nsecond"
	for cut := range head + 1 {
		p := startPeer(t, func(p *peer, c net.Conn, r *bufio.Reader) {
			p.read(r)
			_, _ = io.WriteString(c, first[:cut]+second)
			_ = c.Close()
		})
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		response, err := newPool(p).Do(ctx, request("1", ""))
		if err == nil {
			if response.Status != http.StatusInternalServerError {
				t.Errorf("cut at %q: status %d with the body of another answer", first[:cut], response.Status)
			}
			response.Close()
		}
		cancel()
	}
	p := startPeer(t, func(p *peer, c net.Conn, r *bufio.Reader) {
		p.read(r)
		_, _ = io.WriteString(c, first)
	})
	if body, err := exchange(newPool(p), request("1", "")); err != nil || body != "first" {
		t.Errorf("the whole answer: body %q, error %v", body, err)
	}
}

// TestEndlessHead guards against a peer that sends a header, or bytes that are no answer, without an end.
func TestEndlessHead(t *testing.T) {
	const piece = 64 << 10
	tests := []struct{ name, first, piece string }{
		{"a line", "HTTP/1.1 200 OK\r\nId: ", strings.Repeat("x", piece)},
		{"many lines", "HTTP/1.1 200 OK\r\n", strings.Repeat("Name: value\r\n", piece/13)},
		{"no answer", "", strings.Repeat("\x00", piece)},
		{"informational answers", "", strings.Repeat("HTTP/1.1 103 Early Hints\r\nName: value\r\n", piece/40)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			sent := make(chan int, 1)
			p := startPeer(t, func(p *peer, c net.Conn, r *bufio.Reader) {
				p.read(r)
				n, err := io.WriteString(c, tt.first)
				for total := n; ; total += n {
					if err != nil {
						sent <- total
						return
					}
					n, err = io.WriteString(c, tt.piece)
				}
			})
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			var failed *Error
			if _, err := newPool(p).Do(ctx, request("1", "")); !errors.As(err, &failed) || !failed.Sent || ctx.Err() != nil {
				t.Errorf("error %v", err)
			}
			if n := <-sent; n > 32<<20 {
				t.Errorf("the peer could send %d bytes", n)
			}
		})
	}
}

// TestManyFields guards against a header whose fields take many times the memory of its bytes.
func TestManyFields(t *testing.T) {
	tests := []struct {
		name   string
		fields int
		body   string
		want   error
	}{
		{"a few", 100, "", nil},
		{"a few, and a body of lines", 100, strings.Repeat("\n", readBufferBytes), nil},
		{"many short ones", maxHeadBytes / 10, "", ErrHead},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := startPeer(t, func(p *peer, c net.Conn, r *bufio.Reader) {
				p.read(r)
				var answer strings.Builder
				answer.WriteString("HTTP/1.1 200 OK\r\nId: 1\r\n")
				for i := range tt.fields {
					fmt.Fprintf(&answer, "A%d:\r\n", i)
				}
				fmt.Fprintf(&answer, "Content-Length: %d\r\n\r\n%s", len(tt.body), tt.body)
				_, _ = io.WriteString(c, answer.String())
			})
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			response, err := newPool(p).Do(ctx, request("1", ""))
			if !errors.Is(err, tt.want) {
				t.Errorf("error %v, want %v", err, tt.want)
			}
			if err != nil {
				return
			}
			defer response.Close()
			if body, err := io.ReadAll(response); err != nil || string(body) != tt.body || len(response.Header) < tt.fields {
				t.Errorf("%d fields, a body of %d bytes, error %v", len(response.Header), len(body), err)
			}
		})
	}
}

// TestFailures checks the error of a failed request, and whether it reports the request as sent.
func TestFailures(t *testing.T) {
	t.Run("nobody listens", func(t *testing.T) {
		p := startPeer(t, echo)
		_ = p.listener.Close()
		_, err := exchange(newPool(p), request("1", ""))
		var failed *Error
		if !errors.As(err, &failed) || failed.Sent {
			t.Errorf("error %v", err)
		}
	})
	t.Run("closed without an answer", func(t *testing.T) {
		p := startPeer(t, func(p *peer, c net.Conn, r *bufio.Reader) {
			p.read(r)
			_ = c.Close()
		})
		_, err := exchange(newPool(p), request("1", ""))
		var failed *Error
		if !errors.As(err, &failed) || !failed.Sent {
			t.Errorf("error %v", err)
		}
		if _, requests := p.counts(); requests != 1 {
			t.Errorf("sent %d times", requests)
		}
	})
	t.Run("cut body", func(t *testing.T) {
		p := startPeer(t, func(p *peer, c net.Conn, r *bufio.Reader) {
			id, _ := p.read(r)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nContent-Length: 5\r\n\r\nab")
			_ = c.Close()
		})
		if body, err := exchange(newPool(p), request("1", "")); err == nil {
			t.Errorf("cut body %q was read without an error", body)
		}
	})
	t.Run("cancelled", func(t *testing.T) {
		p := startPeer(t, func(p *peer, _ net.Conn, r *bufio.Reader) { p.read(r); p.read(r) })
		ctx, cancel := context.WithCancelCause(context.Background())
		cause := errors.New("why")
		go func() {
			for _, requests := p.counts(); requests == 0; _, requests = p.counts() {
				time.Sleep(time.Millisecond)
			}
			cancel(cause)
		}()
		if _, err := newPool(p).Do(ctx, request("1", "")); !errors.Is(err, cause) {
			t.Errorf("error %v", err)
		}
	})
}

// TestEarlyAnswer has a peer that answers a long request before it has read the body, and
// that keeps the connection open. The second request must not be sent on that connection while
// the rest of the body is unsent, as the peer would read it as part of the body.
func TestEarlyAnswer(t *testing.T) {
	const size = 8 << 20
	p := startPeer(t, func(p *peer, c net.Conn, r *bufio.Reader) {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		id := request.Header.Get("Id")
		_, _ = io.WriteString(c, answerTo(id, id))
		if id == "2" {
			return
		}
		if n, err := io.Copy(io.Discard, request.Body); err == nil && n == size {
			// The whole body arrived, so the connection may be reused.
			echo(p, c, r)
		}
	})
	pool := newPool(p)
	for _, id := range []string{"1", "2"} {
		size := map[string]int{"1": size, "2": 0}[id]
		if body, err := exchange(pool, request(id, strings.Repeat("x", size))); err != nil || body != id {
			t.Errorf("request %s: body %q, error %v", id, body, err)
		}
	}
}

// TestUnframed reads an answer that ends with its connection.
func TestUnframed(t *testing.T) {
	p := startPeer(t, func(p *peer, c net.Conn, r *bufio.Reader) {
		id, _ := p.read(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\n\r\nabc")
		_ = c.Close()
	})
	response, err := newPool(p).Do(context.Background(), request("1", ""))
	if err != nil {
		t.Fatal(err)
	}
	defer response.Close()
	if body, err := io.ReadAll(response); err != nil || string(body) != "abc" || response.Framed {
		t.Errorf("body %q, error %v, framed %t", body, err, response.Framed)
	}
}

// TestProbe checks that a probe opens a connection of its own, and tells whether the peer answers.
func TestProbe(t *testing.T) {
	tests := []struct {
		name   string
		handle func(p *peer, c net.Conn, r *bufio.Reader)
		want   bool
	}{
		{"answers", echo, true},
		{"answers with an error", func(p *peer, c net.Conn, r *bufio.Reader) {
			p.read(r)
			_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		}, true},
		{"closes", func(_ *peer, c net.Conn, _ *bufio.Reader) { _ = c.Close() }, false},
		{"is silent", func(*peer, net.Conn, *bufio.Reader) {}, false},
	}
	for _, e := range tests {
		t.Run(e.name, func(t *testing.T) {
			p := startPeer(t, e.handle)
			pool := New(Config{Address: p.listener.Addr().String(), Clock: swclock.NewSystem(), DialTimeout: swclock.Second, MaxIdleTime: swclock.Minute})
			for range 2 {
				ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
				_, err := pool.Probe(ctx, Request{Method: http.MethodGet, Target: "/", Host: "h"})
				cancel()
				if (err == nil) != e.want {
					t.Errorf("probe of a peer that %s: %v", e.name, err)
				}
			}
			if connections, _ := p.counts(); connections != 2 {
				t.Errorf("%d connections for 2 probes", connections)
			}
		})
	}
}

// TestCheck checks that a request is sent to the process that it is for only, and that each connection is asked once.
func TestCheck(t *testing.T) {
	tests := []struct {
		name string
		// says has what the peer says on each connection, and closed the connections that it closes when it is asked.
		says   []string
		closed map[int]bool
		// keptFirst is set if the request without a check leaves a connection in the pool.
		keptFirst bool
		requests  int
		asked     int
		err       error
	}{
		{name: "the expected one", says: []string{"7"}, requests: 3, asked: 1},
		{name: "another one", says: []string{"8"}, requests: 1, asked: 1, err: ErrOtherProcess},
		{name: "it does not say", says: []string{""}, requests: 2, asked: 1},
		{name: "a kept connection", says: []string{"7"}, keptFirst: true, requests: 2, asked: 1},
		{name: "a kept connection that ends", says: []string{"", "7"}, closed: map[int]bool{0: true}, keptFirst: true, requests: 2, asked: 2},
		{name: "a new connection that ends", says: []string{""}, closed: map[int]bool{0: true}, requests: 1, asked: 1, err: io.ErrUnexpectedEOF},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var mu sync.Mutex
			accepted, asked := 0, 0
			p := startPeer(t, func(p *peer, c net.Conn, r *bufio.Reader) {
				mu.Lock()
				number := accepted
				accepted++
				mu.Unlock()
				for {
					id, ok := p.read(r)
					if !ok {
						return
					}
					body := id
					if id == "ask" {
						mu.Lock()
						asked++
						mu.Unlock()
						if tt.closed[number] {
							_ = c.Close()
							return
						}
						body = tt.says[number]
					}
					_, _ = io.WriteString(c, answerTo(id, body))
				}
			})
			pool := newPool(p)
			if tt.keptFirst {
				if body, err := exchange(pool, request("first", "")); err != nil || body != "first" {
					t.Fatalf("answer %q, error %v", body, err)
				}
			}
			for range tt.requests {
				r := request("r", "")
				r.Check = &Check{Ask: request("ask", ""), Process: 7, Decode: func(_ int, body []byte) int64 {
					process, _ := strconv.ParseInt(string(body), 10, 64)
					return process
				}}
				body, err := exchange(pool, r)
				var failed *Error
				switch {
				case tt.err == nil && (err != nil || body != "r"):
					t.Errorf("answer %q, error %v", body, err)
				case tt.err != nil && (!errors.Is(err, tt.err) || !errors.As(err, &failed) || failed.Sent):
					t.Errorf("error %v, want %v before the request is sent", err, tt.err)
				}
			}
			if mu.Lock(); asked != tt.asked {
				t.Errorf("the peer was asked %d times, want %d", asked, tt.asked)
			}
			mu.Unlock()
		})
	}
}
