// Package swexample embeds the settings and the environment document that the dev
// command uses.
package swexample

import _ "embed"

//go:embed document.yaml
var document []byte

//go:embed settings.yaml
var settings []byte

const (
	// DocumentFile names the embedded document in messages.
	DocumentFile = "embedded document.yaml"
	// SettingsFile names the embedded settings in messages.
	SettingsFile = "embedded settings.yaml"
	// APIKey is the key of the document's only organisation.
	APIKey = "dev-key"
)

// Document returns the embedded environment document, as a copy.
func Document() []byte { return append([]byte(nil), document...) }

// Settings returns the embedded settings, as a copy.
func Settings() []byte { return append([]byte(nil), settings...) }
