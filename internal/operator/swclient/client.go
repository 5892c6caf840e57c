package swclient

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/sassafraswing/sassafraswing/internal/config/swstore"
	"github.com/sassafraswing/sassafraswing/internal/config/swtls"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/operator/swadmin"
)

// applyTries bounds how often a change is sent whose answer was lost.
const applyTries = 3

// errUnreachable means that a daemon did not answer.
var errUnreachable = errors.New("no answer from the daemon")

// client calls the operators' interface of one daemon.
type client struct {
	base string
	http *http.Client
}

func newClient(base string, keys *swtls.Keys) (*client, error) {
	u, err := url.Parse(base)
	if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
		return nil, usagef("%q is not the URL of a daemon, for example http://127.0.0.1:8082", base)
	}
	if u.Scheme == "https" && keys.Off() {
		return nil, usagef("an https URL needs -certificate, -key and -authority")
	}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		return keys.Dial(ctx, network, address)
	}
	transport := &http.Transport{DialTLSContext: dial, DisableKeepAlives: true}
	return &client{base: strings.TrimSuffix(base, "/"), http: &http.Client{Transport: transport}}, nil
}

// document is a document and its version.
type document struct {
	version swid.ConfigVersion
	data    []byte
}

func (c *client) document(ctx context.Context) (document, error) {
	header, data, err := c.call(ctx, http.MethodGet, "/document", nil)
	if err != nil {
		return document{}, err
	}
	version, err := strconv.ParseUint(header.Get(swadmin.VersionHeader), 10, 64)
	if err != nil {
		return document{}, errors.Wrap(err, "read the document's version")
	}
	return document{version: swid.ConfigVersion(version), data: data}, nil
}

func (c *client) status(ctx context.Context) (swadmin.Status, error) {
	_, data, err := c.call(ctx, http.MethodGet, "/status", nil)
	if err != nil {
		return swadmin.Status{}, err
	}
	return swadmin.DecodeStatus(data)
}

// apply sends a change, again with the same id if its answer is lost.
func (c *client) apply(ctx context.Context, change swstore.Change) (swadmin.Applied, error) {
	query := url.Values{}
	query.Set(swadmin.BaseParameter, strconv.FormatUint(uint64(change.Base), 10))
	query.Set(swadmin.ChangeParameter, string(change.ID))
	return c.change(ctx, http.MethodPut, "/document?"+query.Encode(), change.Document)
}

func (c *client) change(ctx context.Context, method, path string, body []byte) (swadmin.Applied, error) {
	var data []byte
	var err error
	for range applyTries {
		_, data, err = c.call(ctx, method, path, body)
		if !answerLost(err) {
			break
		}
	}
	if err != nil {
		return swadmin.Applied{}, err
	}
	return swadmin.DecodeApplied(data)
}

// answerLost reports whether a change may have taken effect in spite of an error.
func answerLost(err error) bool {
	var f *swadmin.Failure
	return errors.Is(err, errUnreachable) || errors.As(err, &f) && f.Code == swadmin.CodeUnknown
}

// call returns the header and body of an answer, or its failure.
func (c *client) call(ctx context.Context, method, path string, body []byte) (http.Header, []byte, error) {
	response, err := c.open(ctx, method, path, body)
	if err != nil {
		return nil, nil, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, nil, errors.Wrap(errUnreachable, err.Error())
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		failure, err := swadmin.DecodeFailure(data)
		if err != nil {
			return nil, nil, errors.Wrap(err, response.Status)
		}
		return nil, nil, failure
	}
	return response.Header, data, nil
}

func (c *client) open(ctx context.Context, method, path string, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "make request")
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, errors.Wrap(errUnreachable, err.Error())
	}
	return response, nil
}
