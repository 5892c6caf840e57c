package swdoc_test

import (
	"errors"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/sassafraswing/sassafraswing/internal/config/swdoc"
	"github.com/sassafraswing/sassafraswing/internal/config/swsettings"
	"github.com/sassafraswing/sassafraswing/internal/config/swyaml"
)

// Each mapping in these files has the unknown key z. The problem reported for it lists the known keys.
const (
	probeSettings = `z: 1
caller: {z: 1, tls: {z: 1}}
peer: {z: 1, tls: {z: 1}}
operator: {z: 1, tls: {z: 1}}
platform: {z: 1, tls: {z: 1}}
orders: {z: 1}
log: {z: 1}
fleet: {z: 1, rollout: {z: 1}}
`
	probeDocument = `z: 1
regions: [{z: 1}]
tiers: [{z: 1}]
organisations: [{z: 1}]
generations: [{z: 1}]
services: [{z: 1, routes: [{z: 1}]}]
targets: [{z: 1}]
`
)

var (
	indexPattern   = regexp.MustCompile(`\[\d+\]`)
	pageKeyPattern = regexp.MustCompile("(?m)^\\| `([a-zA-Z.\\[\\]]+)` \\|")
)

// codeKeys returns the keys that the code accepts, taken from its reports of unknown keys.
func codeKeys(t *testing.T, err error) []string {
	t.Helper()
	var list *swyaml.Error
	if !errors.As(err, &list) {
		t.Fatalf("got %v", err)
	}
	var keys []string
	for _, p := range list.Problems {
		if p.Text != "unknown key" {
			continue
		}
		prefix := strings.TrimSuffix(indexPattern.ReplaceAllString(p.Key, "[]"), "z")
		if strings.Contains(prefix, "tls.") {
			prefix = "tls."
		}
		for _, k := range strings.Split(p.Allowed, ", ") {
			keys = append(keys, prefix+k)
		}
	}
	return keys
}

// TestPage checks that the operators' page lists exactly the keys that the code accepts.
func TestPage(t *testing.T) {
	page, err := os.ReadFile("../../../docs/operators/configuration.md")
	if err != nil {
		t.Fatal(err)
	}
	var onPage []string
	for _, m := range pageKeyPattern.FindAllStringSubmatch(string(page), -1) {
		onPage = append(onPage, m[1])
	}
	_, settingsError := swsettings.Parse("settings", []byte(probeSettings))
	_, documentError := swdoc.Parse("document", []byte(probeDocument))
	inCode := append(codeKeys(t, settingsError), codeKeys(t, documentError)...)
	slices.Sort(inCode)
	inCode = slices.Compact(inCode)
	slices.Sort(onPage)
	for _, k := range inCode {
		if !slices.Contains(onPage, k) {
			t.Errorf("%s is not on the page", k)
		}
	}
	for _, k := range onPage {
		if !slices.Contains(inCode, k) {
			t.Errorf("%s is on the page but not in the code", k)
		}
	}
	if len(inCode) < 50 {
		t.Errorf("only %d keys found", len(inCode))
	}
}
