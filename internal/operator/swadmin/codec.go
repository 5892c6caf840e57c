package swadmin

import (
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

// wireStatus is the JSON form of Status.
type wireStatus struct {
	Host     string       `json:"host"`
	Zone     string       `json:"zone"`
	Region   string       `json:"region"`
	Version  uint64       `json:"version"`
	Draining bool         `json:"draining"`
	Targets  []wireTarget `json:"targets"`
	Cells    []wireCell   `json:"cells"`
	Members  []wireMember `json:"members"`
}

type wireTarget struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Zone    string `json:"zone"`
	State   string `json:"state"`
	Running int    `json:"running"`
}

type wireCell struct {
	ID    string     `json:"id"`
	Epoch uint64     `json:"epoch"`
	Tiers []wireTier `json:"tiers"`
}

type wireTier struct {
	Tier    string `json:"tier"`
	Waiting int    `json:"waiting"`
	Running int    `json:"running"`
}

type wireMember struct {
	Host    string `json:"host"`
	Zone    string `json:"zone"`
	State   string `json:"state"`
	Version uint64 `json:"version"`
}

// EncodeStatus returns a status as JSON.
func EncodeStatus(s Status) ([]byte, error) {
	w := wireStatus{Host: string(s.Host), Zone: string(s.Zone), Region: string(s.Region), Version: uint64(s.Version), Draining: s.Draining}
	w.Targets = convert(s.Targets, func(t TargetStatus) wireTarget {
		return wireTarget{ID: string(t.ID), Service: string(t.Service), Zone: string(t.Zone), State: t.State, Running: t.Running}
	})
	w.Cells = convert(s.Cells, func(c CellStatus) wireCell {
		tiers := convert(c.Tiers, func(t TierStatus) wireTier { return wireTier(t) })
		return wireCell{ID: string(c.ID), Epoch: uint64(c.Epoch), Tiers: tiers}
	})
	w.Members = convert(s.Members, func(m MemberStatus) wireMember {
		return wireMember{Host: string(m.Host), Zone: string(m.Zone), State: m.State, Version: uint64(m.Version)}
	})
	data, err := json.Marshal(w)
	return data, errors.Wrap(err, "encode status")
}

// DecodeStatus parses the JSON of EncodeStatus.
func DecodeStatus(data []byte) (Status, error) {
	var w wireStatus
	if err := json.Unmarshal(data, &w); err != nil {
		return Status{}, errors.Wrap(err, "decode status")
	}
	s := Status{Host: swid.HostID(w.Host), Zone: swid.ZoneID(w.Zone), Region: swid.RegionID(w.Region), Version: swid.ConfigVersion(w.Version), Draining: w.Draining}
	s.Targets = convert(w.Targets, func(t wireTarget) TargetStatus {
		return TargetStatus{ID: swid.TargetID(t.ID), Service: swid.ServiceID(t.Service), Zone: swid.ZoneID(t.Zone), State: t.State, Running: t.Running}
	})
	s.Cells = convert(w.Cells, func(c wireCell) CellStatus {
		tiers := convert(c.Tiers, func(t wireTier) TierStatus { return TierStatus(t) })
		return CellStatus{ID: swid.CellID(c.ID), Epoch: swid.Epoch(c.Epoch), Tiers: tiers}
	})
	s.Members = convert(w.Members, func(m wireMember) MemberStatus {
		return MemberStatus{Host: swid.HostID(m.Host), Zone: swid.ZoneID(m.Zone), State: m.State, Version: swid.ConfigVersion(m.Version)}
	})
	return s, nil
}

// convert maps each element of a slice. The result is never nil, so that JSON has an empty list instead of null.
func convert[A, B any](items []A, convertItem func(A) B) []B {
	converted := make([]B, 0, len(items))
	for _, a := range items {
		converted = append(converted, convertItem(a))
	}
	return converted
}

// Code is the kind of failure that an error response reports.
type Code string

// Codes of error responses.
const (
	CodeInvalid      Code = "invalid"
	CodeConflict     Code = "conflict"
	CodeChangeIDUsed Code = "changeIdUsed"
	CodeTooLarge     Code = "tooLarge"
	CodeNotFound     Code = "notFound"
	CodeNotApplied   Code = "notApplied"
	CodeUnknown      Code = "unknown"
	CodeUnavailable  Code = "unavailable"
	CodeForbidden    Code = "forbidden"
)

// Failure is the body of an error response.
type Failure struct {
	Code    Code
	Message string
	// Current is the newest version of the document; it is set for CodeConflict only.
	Current swid.ConfigVersion
}

// Error implements error.
func (f *Failure) Error() string { return f.Message }

type wireFailure struct {
	Error wireFailureBody `json:"error"`
}

type wireFailureBody struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	Current uint64 `json:"current,omitempty"`
}

// EncodeFailure returns a failure as JSON.
func EncodeFailure(f Failure) ([]byte, error) {
	data, err := json.Marshal(wireFailure{wireFailureBody{Code: string(f.Code), Message: f.Message, Current: uint64(f.Current)}})
	return data, errors.Wrap(err, "encode failure")
}

// DecodeFailure parses the JSON of EncodeFailure. It returns an error if data
// is not an error response of the operator API.
func DecodeFailure(data []byte) (*Failure, error) {
	var w wireFailure
	if err := json.Unmarshal(data, &w); err != nil || w.Error.Code == "" {
		return nil, errors.New("response is not an error of the operator API")
	}
	return &Failure{Code: Code(w.Error.Code), Message: w.Error.Message, Current: swid.ConfigVersion(w.Error.Current)}, nil
}

// Applied is the body of the response to a change of the document that took effect.
type Applied struct {
	Version swid.ConfigVersion
	Change  string
}

type wireApplied struct {
	Version uint64 `json:"version"`
	Change  string `json:"change"`
}

// EncodeApplied returns the response to an applied change as JSON.
func EncodeApplied(a Applied) ([]byte, error) {
	data, err := json.Marshal(wireApplied{Version: uint64(a.Version), Change: a.Change})
	return data, errors.Wrap(err, "encode applied change")
}

// DecodeApplied parses the JSON of EncodeApplied.
func DecodeApplied(data []byte) (Applied, error) {
	var w wireApplied
	if err := json.Unmarshal(data, &w); err != nil {
		return Applied{}, errors.Wrap(err, "decode applied change")
	}
	return Applied{Version: swid.ConfigVersion(w.Version), Change: w.Change}, nil
}
