package swroom

import (
	"bytes"
	"testing"
)

func TestHeaders(t *testing.T) {
	const capacity = 1 << 20
	short := bytes.Repeat([]byte("a:\r\n"), 3000)
	tests := []struct {
		name string
		// others are headers of short fields that arrive before.
		others int
		data   []byte
		want   bool
	}{
		{"a usual one", 0, bytes.Repeat([]byte("name: a usual value\r\n"), 20), true},
		{"a usual one beside a crowd", 100, bytes.Repeat([]byte("name: a usual value\r\n"), 20), true},
		{"many short fields alone", 0, short, true},
		{"many short fields beside a crowd", 100, short, false},
		{"a long one beside a crowd", 100, make([]byte, 1<<20), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			room := NewHeaders(capacity)
			var others []*Header
			for range tt.others {
				others = append(others, room.Open())
				others[len(others)-1].Grow(short)
			}
			h := room.Open()
			if got := h.Grow(tt.data); got != tt.want {
				t.Errorf("room %v, want %v", got, tt.want)
			}
			if held := room.Held(); held > capacity {
				t.Errorf("%d bytes held, at most %d wanted", held, capacity)
			}
			for _, o := range others {
				o.Reset()
				o.Close()
			}
			h.Close()
			if held := room.Held(); held != 0 {
				t.Errorf("%d bytes held once all connections have ended", held)
			}
			if late := room.Open(); !late.Grow(short) {
				t.Error("no room once the crowd has left")
			}
		})
	}
}

func TestHeaderAfterClose(t *testing.T) {
	room := NewHeaders(1 << 20)
	h := room.Open()
	h.Close()
	h.Grow(make([]byte, 100<<10))
	if held := room.Held(); held != 0 {
		t.Errorf("%d bytes held by a connection that has ended", held)
	}
	var none *Headers
	if unbounded := none.Open(); !unbounded.Grow(make([]byte, 1<<20)) {
		t.Error("a header without a room is bounded")
	}
}

// TestBodyBehindHeader guards against bodies that take the room for headers because they arrive in one read with their header.
func TestBodyBehindHeader(t *testing.T) {
	body := bytes.Repeat([]byte("1\r\nx\r\n"), 1<<10)
	long := "GET / HTTP/1.1\r\nname: " + string(bytes.Repeat([]byte("v"), freeHeaderBytes)) + "\r\n"
	tests := []struct {
		name  string
		reads []string
		grows bool
	}{
		{"in one read", []string{"GET / HTTP/1.1\r\nname: value\r\n\r\n" + string(body)}, false},
		{"line breaks without a return", []string{"GET / HTTP/1.1\nname: value\n\n" + string(body)}, false},
		{"an end that is cut", []string{"GET / HTTP/1.1\r\nname: value\r\n\r", "\n" + string(body)}, false},
		{"an end that is cut after a line", []string{"GET / HTTP/1.1\r\nname: value\r\n", "\r\n" + string(body)}, false},
		{"a read after the end", []string{"GET / HTTP/1.1\r\n\r\n", string(body)}, false},
		{"a long header", []string{long + "\r\n" + string(body)}, true},
		{"no end yet", []string{"GET / HTTP/1.1\r\n" + string(body)}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			room := NewHeaders(1 << 20)
			h := room.Open()
			for range 2 { // the header of the next request on the connection too
				for _, data := range tt.reads {
					h.Grow([]byte(data))
				}
				if held := room.Held(); held > 0 != tt.grows {
					t.Errorf("%d bytes held", held)
				}
				h.Reset()
			}
		})
	}
}
