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
	RequestID                                          string `json:"requestId"`
	Model, Tokens, Parts, Deadline, Stamp              string
	Expect, Refused, Instance, Tenant, LastEvent       string
	Resumes, Era, Cold, KeyScheme                      string
}

func init() {
	if err := json.Unmarshal(namesData, &names); err != nil {
		panic(err)
	}
}
