package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// crowdKey is the key of the crowd's tenant, which is not that of the other clients.
	crowdKey = "n2ctnfzs989anu6wsjnb"
	// crowdChunk is the size of the chunks in which the crowd's bodies arrive, and crowdPause the pause between two.
	crowdChunk = 64
	crowdPause = 100 * time.Millisecond
	// crowdChunks is the number of chunks of a body. The last one is not sent.
	crowdChunks = 140
	// stableWindow is stableWindowMs of the site.
	stableWindow = 3 * time.Second
	// triers is the number of clients that have to try.
	triers = 7
)

// try is a client's attempt on a new connection.
type try struct {
	client int
	at     time.Time
	taken  bool
	text   string
}

// crowded has a crowd of clients send bodies of legal size to one host, in very small chunks, each stopping just short of its end.
// Meanwhile other clients send ordinary requests there, each on a new connection.
func crowded(w *world) (broken bool, err error) {
	const hosts, servers, clients, crowd = 2, 3, 14, 1300
	if err := w.startServers(servers, func(_ int, s *server) {
		s.service, s.slots, s.first = "cobranca-api", 6, 15*time.Millisecond
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
	var tries []try
	for i := range clients {
		tasks.Go(func() {
			for ctx.Err() == nil {
				began := time.Now()
				call, done := context.WithTimeout(context.Background(), 600*time.Millisecond)
				a := w.send(call, h, http.MethodGet, "/balance/2f", nil, "")
				done()
				mu.Lock()
				tries = append(tries, try{i, began, a.status != 0, a.String()})
				mu.Unlock()
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	var ready, asked atomic.Int64
	tasks.Go(func() {
		for ctx.Err() == nil {
			asked.Add(1)
			if h.isReady() {
				ready.Add(1)
			}
			time.Sleep(time.Second)
		}
	})
	time.Sleep(4 * time.Second)
	if w.trouble {
		w.note("%d clients begin to send bodies to %s", crowd, h.name)
		for i := range crowd {
			tasks.Go(func() {
				time.Sleep(time.Duration(i) * time.Millisecond)
				w.sendSlowly(ctx, h)
			})
		}
	}
	time.Sleep(15 * time.Second)
	cancel()
	tasks.Wait()
	for _, t := range tries {
		if t.client == 0 { // the others fare alike, and are in the sum
			w.note("client %d at %.3f: taken %t; %s", t.client, t.at.Sub(w.started).Seconds(), t.taken, t.text)
		}
	}
	taken := 0
	for _, t := range tries {
		if t.taken {
			taken++
		}
	}
	w.note("%d attempts of %d clients, %d taken", len(tries), clients, taken)
	longest := w.longestRefusal(tries)
	w.note("ready %d of %d times; the longest time in which no new connection of %d clients or more was taken is %.1f s, allowed are %.1f s",
		ready.Load(), asked.Load(), triers, longest.Seconds(), stableWindow.Seconds())
	return longest >= stableWindow, nil
}

// longestRefusal returns the longest time from one attempt to another without any that was taken between, in which enough clients tried.
func (w *world) longestRefusal(tries []try) (longest time.Duration) {
	var since time.Time
	tried := make(map[int]bool)
	for _, t := range tries {
		if t.taken {
			since, tried = time.Time{}, make(map[int]bool)
			continue
		}
		if since.IsZero() {
			since = t.at
		}
		tried[t.client] = true
		if span := t.at.Sub(since); len(tried) >= triers && span > longest {
			longest = span
		}
	}
	return longest
}

// sendSlowly sends a chunked body of legal size in small chunks, stops just short of its end and stays until the host closes the connection.
func (w *world) sendSlowly(ctx context.Context, h *host) {
	dialer := net.Dialer{Timeout: connectTimeout}
	for ctx.Err() == nil {
		c, err := dialer.DialContext(ctx, "tcp", h.front)
		if err != nil {
			time.Sleep(200 * time.Millisecond)
			continue
		}
		stop := context.AfterFunc(ctx, func() { _ = c.Close() })
		_, err = fmt.Fprintf(c, "POST /confirm/2f HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 30000\r\nAuthorization: %s%s\r\nTransfer-Encoding: chunked\r\n\r\n",
			siteHost, wire.RequestID, newID(), wire.Deadline, wire.KeyScheme, crowdKey)
		chunk := fmt.Sprintf("%x\r\n%s\r\n", crowdChunk, strings.Repeat("b", crowdChunk))
		for n := 0; err == nil && n < crowdChunks-1; n++ {
			time.Sleep(crowdPause)
			_, err = io.WriteString(c, chunk)
		}
		if err == nil {
			_, _ = io.Copy(io.Discard, c)
		}
		stop()
		_ = c.Close()
		time.Sleep(200 * time.Millisecond)
	}
}
