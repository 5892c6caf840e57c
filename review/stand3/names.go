package main

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"regexp"
	"strings"
)

// The names of the platform's protocol and the documents of a small deployment are data, which Go files outside of the adapter do not spell.
var (
	//go:embed names.json
	namesData []byte
	//go:embed config.json
	configData []byte
	//go:embed server.json
	serverData []byte
	//go:embed settings.json
	settingsData []byte
)

// names has the names of the protocol by their use here.
var names = func() (n struct {
	Header, Path, Kind map[string]string
}) {
	mustDecode(namesData, &n)
	return n
}()

func mustDecode(data []byte, v any) {
	if err := json.Unmarshal(data, v); err != nil {
		panic(err) // embedded data
	}
}

// document returns a new copy of an embedded JSON object.
func document(data []byte) map[string]any {
	var v map[string]any
	mustDecode(data, &v)
	return v
}

var (
	section     = regexp.MustCompile(`(?s)\{\{#([\w.]+)\}\}(.*?)\{\{/[\w.]+\}\}`)
	placeholder = regexp.MustCompile(`\{\{([\w.]+)\}\}`)
)

// render fills the template of the settings as the platform does: a section is kept if there is a value.
func render(template string, values map[string]string) string {
	for section.MatchString(template) {
		template = section.ReplaceAllStringFunc(template, func(text string) string {
			m := section.FindStringSubmatch(text)
			if values[m[1]] == "" {
				return ""
			}
			return m[2]
		})
	}
	return placeholder.ReplaceAllStringFunc(template, func(text string) string { return values[strings.Trim(text, "{}")] })
}

// settingValues returns the values of the settings of one host.
func settingValues(name, ip, front, ready, peer, operator, store string) map[string]string {
	values := make(map[string]string)
	mustDecode(settingsData, &values)
	values["node"], values["ip"] = name, ip
	values["listenAddresses.front"] = fmt.Sprint(ip, ":", front)
	values["listenAddresses.ready"] = fmt.Sprint(ip, ":", ready)
	values["internalPorts.0"], values["internalPorts.1"] = peer, operator
	values["platform.address"] = store
	return values
}
