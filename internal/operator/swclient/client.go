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

// maxChangeTries bounds how often a change is sent while its outcome is unknown.
const maxChangeTries = 3

// errUnreachable means that the daemon sent no response or only part of one.
var errUnreachable = errors.New("no answer from the daemon")

// client calls the operator API of one daemon.
type client struct {
	base string
	http *http.Client
}

func newClient(base string, keys *swtls.Keys) (*client, error) {
	u, err := url.Parse(base)
	if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
		return nil, usageErrorf("%q is not the URL of a daemon, for example http://127.0.0.1:8082", base)
	}
	if u.Scheme == "https" && keys.Off() {
		return nil, usageErrorf("an https URL needs -certificate, -key and -authority")
	}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		return keys.Dial(ctx, network, address)
	}
	transport := &http.Transport{DialTLSContext: dial, DisableKeepAlives: true}
	return &client{base: strings.TrimSuffix(base, "/"), http: &http.Client{Transport: transport}}, nil
}

// document is an environment document and its version.
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
		return document{}, errors.Wrap(err, "parse the document version in the response header")
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

// apply sends a change and repeats it with the same id while its outcome is unknown.
func (c *client) apply(ctx context.Context, change swstore.Change) (swadmin.Applied, error) {
	query := url.Values{}
	query.Set(swadmin.BaseParameter, strconv.FormatUint(uint64(change.Base), 10))
	query.Set(swadmin.ChangeParameter, string(change.ID))
	return c.sendChange(ctx, http.MethodPut, "/document?"+query.Encode(), change.Document)
}

func (c *client) sendChange(ctx context.Context, method, path string, body []byte) (swadmin.Applied, error) {
	var data []byte
	var err error
	for range maxChangeTries {
		_, data, err = c.call(ctx, method, path, body)
		if !mayHaveTakenEffect(err) {
			break
		}
	}
	if err != nil {
		return swadmin.Applied{}, err
	}
	return swadmin.DecodeApplied(data)
}

// mayHaveTakenEffect reports whether a change may have taken effect although its
// call returned err: the response was lost, or the daemon reported that the outcome is
// unknown.
func mayHaveTakenEffect(err error) bool {
	var f *swadmin.Failure
	return errors.Is(err, errUnreachable) || errors.As(err, &f) && f.Code == swadmin.CodeUnknown
}

// call sends a request and returns the header and body of the response. An
// error response is returned as a *swadmin.Failure.
func (c *client) call(ctx context.Context, method, path string, body []byte) (http.Header, []byte, error) {
	response, err := c.sendRequest(ctx, method, path, body)
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

func (c *client) sendRequest(ctx context.Context, method, path string, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "create request")
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, errors.Wrap(errUnreachable, err.Error())
	}
	return response, nil
}
