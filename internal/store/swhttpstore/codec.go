package swhttpstore

import (
	"encoding/json"
	"net/url"
	"strings"

	"github.com/pkg/errors"

	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/store/swobject"
)

// wireObject is an object in the JSON of the platform. Value is encoded in base64.
type wireObject struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}

// wireVersion is the platform's response to a write.
type wireVersion struct {
	Version uint64 `json:"version"`
}

// wireHost is an entry of the platform's host list.
type wireHost struct {
	ID      string `json:"id"`
	Zone    string `json:"zone"`
	Region  string `json:"region"`
	Address string `json:"address"`
	State   string `json:"state"`
}

// objectPath returns the URL path of an object. Slashes in the key separate path segments.
func objectPath(key string) string {
	parts := strings.Split(key, "/")
	for i, p := range parts {
		parts[i] = url.PathEscape(p)
	}
	return "/objects/" + strings.Join(parts, "/")
}

func decodeObject(data []byte, key string) (swobject.Object, error) {
	var w wireObject
	if err := json.Unmarshal(data, &w); err != nil {
		return swobject.Object{}, errors.WithMessage(swobject.ErrUnknown, err.Error())
	}
	if w.Key != key || w.Version == 0 {
		return swobject.Object{}, errors.WithMessagef(swobject.ErrUnknown, "requested object %q, received %q version %d", key, w.Key, w.Version)
	}
	return swobject.Object{Key: w.Key, Version: swobject.Version(w.Version), Value: w.Value}, nil
}

func decodeVersion(data []byte, expected swobject.Version) (swobject.Version, error) {
	var w wireVersion
	if err := json.Unmarshal(data, &w); err != nil || swobject.Version(w.Version) <= expected {
		return 0, errors.WithMessage(swobject.ErrUnknown, "response contains no new version")
	}
	return swobject.Version(w.Version), nil
}

func decodeHosts(data []byte) ([]swobject.Host, error) {
	var ws []wireHost
	if err := json.Unmarshal(data, &ws); err != nil {
		return nil, errors.WithMessage(swobject.ErrUnknown, err.Error())
	}
	hosts := make([]swobject.Host, 0, len(ws))
	for _, w := range ws {
		state := swobject.HostLive
		if w.State != "live" {
			state = swobject.HostLeaving // a host in an unknown state gets no new work either
		}
		hosts = append(hosts, swobject.Host{
			ID:      swid.HostID(w.ID),
			Zone:    swid.ZoneID(w.Zone),
			Region:  swid.RegionID(w.Region),
			Address: w.Address,
			State:   state,
		})
	}
	return hosts, nil
}
