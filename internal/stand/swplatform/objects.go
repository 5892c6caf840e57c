package swplatform

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/stand/swreply"
	"github.com/sassafraswing/sassafraswing/internal/store/swobject"
)

// maxWatchTime bounds the wait that the client of a watch requests.
const maxWatchTime = swclock.Minute

// objectBody is an object in JSON; the value is encoded in base64.
type objectBody struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}

type versionBody struct {
	Version uint64 `json:"version"`
}

func (p *Platform) serveGet(ctx context.Context, w http.ResponseWriter, r *http.Request, key string) {
	o, ok := p.object(key)
	if !ok {
		swreply.Error(w, http.StatusNotFound, "not_found", "the object does not exist")
		return
	}
	writeObject(w, o)
}

func writeObject(w http.ResponseWriter, o swobject.Object) {
	swreply.JSON(w, http.StatusOK, objectBody{Key: o.Key, Version: uint64(o.Version), Value: o.Value})
}

func (p *Platform) object(key string) (swobject.Object, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	o, ok := p.objects[key]
	return o, ok
}

// serveWatch returns an object once its version is above the query parameter
// after, or 204 if the requested wait ends first.
func (p *Platform) serveWatch(ctx context.Context, w http.ResponseWriter, r *http.Request, key string) {
	query := r.URL.Query()
	after, errAfter := parseCount(query.Get("after"))
	wait, errWait := parseCount(query.Get("waitMillis"))
	if errAfter != nil || errWait != nil {
		swreply.Error(w, http.StatusBadRequest, "query", "after and waitMillis must be numbers")
		return
	}
	span := swclock.Millis(min(wait, uint64(maxWatchTime)))
	t := time.NewTimer(span.Duration())
	defer t.Stop()
	for {
		p.mu.Lock()
		o, ok := p.objects[key]
		changed := p.changed
		p.mu.Unlock()
		if ok && uint64(o.Version) > after {
			writeObject(w, o)
			return
		}
		select {
		case <-changed:
		case <-t.C:
			w.WriteHeader(http.StatusNoContent)
			return
		case <-ctx.Done():
			panic(http.ErrAbortHandler)
		}
	}
}

func parseCount(value string) (uint64, error) {
	if value == "" {
		return 0, nil
	}
	return strconv.ParseUint(value, 10, 62)
}

func (p *Platform) servePut(ctx context.Context, w http.ResponseWriter, r *http.Request, key string) {
	expected, err := strconv.ParseUint(strings.Trim(r.Header.Get("If-Match"), `"`), 10, 62)
	if err != nil {
		swreply.Error(w, http.StatusBadRequest, "if_match", "If-Match must hold a version")
		return
	}
	value, err := io.ReadAll(io.LimitReader(r.Body, swobject.MaxValueBytes+1))
	if err != nil {
		swreply.Error(w, http.StatusBadRequest, "body", err.Error())
		return
	}
	if len(value) > swobject.MaxValueBytes {
		swreply.Error(w, http.StatusRequestEntityTooLarge, "too_large", "the value is too large")
		return
	}
	version, ok := p.put(key, value, swobject.Version(expected))
	if !ok {
		swreply.Error(w, http.StatusPreconditionFailed, "conflict", "the version is another")
		return
	}
	if _, lost := p.faults.Trigger(KindLoseAnswer); lost {
		panic(http.ErrAbortHandler)
	}
	swreply.JSON(w, http.StatusOK, versionBody{Version: uint64(version)})
}

// put writes a value if the object's version is the expected one. It returns the new
// version and reports whether the value was written.
func (p *Platform) put(key string, value []byte, expected swobject.Version) (swobject.Version, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	o := p.objects[key]
	if o.Version != expected {
		return 0, false
	}
	p.objects[key] = swobject.Object{Key: key, Version: expected + 1, Value: value}
	close(p.changed)
	p.changed = make(chan struct{})
	return expected + 1, true
}
