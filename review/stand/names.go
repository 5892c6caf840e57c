package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed names.json
var namesData []byte

// names has the platform's paths and header fields, which no Go file outside its adapter spells out.
var names struct {
	ReadinessPath, ObjectsPath, ReportPath, HealthPath string
	RequestID, Model, Tokens, Parts, Deadline, Stamp   string
	Expect, Refused, Instance, Tenant                  string
	// LastEvent and TakesUp name the last event and the first attempt of a stream that a client takes up.
	LastEvent, TakesUp string
	// Cold and Holders are fields of entries and of objects.
	Cold    string
	Holders string
	// KeyScheme precedes a client's key.
	KeyScheme string
}

func init() {
	if err := json.Unmarshal(namesData, &names); err != nil {
		panic(err)
	}
}
