package sworiginlog

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/core/sworigin"
	"github.com/sassafraswing/sassafraswing/internal/store/swobject"
)

// versions has the origins that the streams of each service may have.
type versions struct {
	services map[swid.ServiceID][]sworigin.Origin
	// complete is set if these are all of an era of the store. What an earlier build wrote does not say so.
	complete bool
	era      swobject.Era
}

// storedVersions is the value of the object versionsKey.
type storedVersions struct {
	Services []storedService `json:"services"`
	// Era is missing if not all services may be known.
	Era *uint64 `json:"era,omitempty"`
}

type storedService struct {
	Service string         `json:"service"`
	Origins []storedOrigin `json:"origins"`
}

type storedOrigin struct {
	Service string `json:"service"`
	Version string `json:"version"`
}

// storedSlot is the value of an object of the ring.
type storedSlot struct {
	// Sequence is higher than that of each object that was written before.
	Sequence uint64          `json:"sequence"`
	Streams  []storedStreams `json:"streams"`
}

// storedStreams are streams of one origin.
type storedStreams struct {
	storedOrigin
	// Streams has 8 bytes for each stream, little-endian, in base64.
	Streams string `json:"streams"`
}

func encodeVersions(v versions) ([]byte, error) {
	stored := storedVersions{Services: make([]storedService, 0, len(v.services))}
	if v.complete {
		era := uint64(v.era)
		stored.Era = &era
	}
	for service, origins := range v.services {
		s := storedService{Service: string(service)}
		for _, o := range origins {
			s.Origins = append(s.Origins, storedOrigin{Service: string(o.Service), Version: string(o.Version)})
		}
		stored.Services = append(stored.Services, s)
	}
	value, err := json.Marshal(stored)
	return value, errors.Wrap(err, "encode versions")
}

func decodeVersions(value []byte) (versions, error) {
	var stored storedVersions
	if err := json.Unmarshal(value, &stored); err != nil {
		return versions{}, errors.Wrap(err, "decode versions")
	}
	v := versions{services: make(map[swid.ServiceID][]sworigin.Origin, len(stored.Services))}
	if stored.Era != nil {
		v.era, v.complete = swobject.Era(*stored.Era), true
	}
	for _, s := range stored.Services {
		for _, o := range s.Origins {
			v.services[swid.ServiceID(s.Service)] = append(v.services[swid.ServiceID(s.Service)], o.origin())
		}
	}
	return v, nil
}

func (o storedOrigin) origin() sworigin.Origin {
	return sworigin.Origin{Service: swid.ServiceID(o.Service), Version: swid.SoftwareVersion(o.Version)}
}

func encodeSlot(sequence uint64, streams []sworigin.Begun) ([]byte, error) {
	stored := storedSlot{Sequence: sequence, Streams: []storedStreams{}}
	var origins []sworigin.Origin
	ids := make(map[sworigin.Origin][]byte)
	for _, b := range streams {
		if ids[b.Origin] == nil {
			origins = append(origins, b.Origin)
		}
		ids[b.Origin] = binary.LittleEndian.AppendUint64(ids[b.Origin], uint64(b.Stream))
	}
	for _, o := range origins {
		stored.Streams = append(stored.Streams, storedStreams{
			storedOrigin: storedOrigin{Service: string(o.Service), Version: string(o.Version)},
			Streams:      base64.StdEncoding.EncodeToString(ids[o]),
		})
	}
	value, err := json.Marshal(stored)
	return value, errors.Wrap(err, "encode streams")
}

// slot is an object of the ring.
type slot struct {
	sequence uint64
	streams  []sworigin.Begun
}

func decodeSlot(value []byte) (slot, error) {
	var stored storedSlot
	if err := json.Unmarshal(value, &stored); err != nil {
		return slot{}, errors.Wrap(err, "decode streams")
	}
	decoded := slot{sequence: stored.Sequence}
	for _, s := range stored.Streams {
		ids, err := base64.StdEncoding.DecodeString(s.Streams)
		if err != nil {
			return slot{}, errors.Wrap(err, "decode streams")
		}
		for ; len(ids) >= 8; ids = ids[8:] {
			decoded.streams = append(decoded.streams, sworigin.Begun{
				Stream: sworigin.Stream(binary.LittleEndian.Uint64(ids)), Origin: s.origin(), Retention: sworigin.MaxRetention,
			})
		}
	}
	return decoded, nil
}
