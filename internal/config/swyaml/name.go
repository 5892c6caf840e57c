package swyaml

import "strings"

const (
	maxNameBytes    = 64
	nameAllowed     = "1 to 64 letters, digits, '.', '_' or '-'"
	namePunctuation = "._-"
)

// Name returns an identifier.
func (v Value) Name() string { return v.name(nameAllowed, namePunctuation) }

// ModelName returns an identifier that may also contain '/' and ':', as model names do.
func (v Value) ModelName() string {
	return v.name("1 to 64 letters, digits, '.', '_', '-', '/' or ':'", namePunctuation+"/:")
}

func (v Value) name(allowed, punctuation string) string {
	return v.Text("", allowed, func(s string) bool {
		return s != "" && len(s) <= maxNameBytes && strings.Trim(s, punctuation) != "" && isName(s, punctuation)
	})
}

// isName reports whether s consists of letters, digits and the given punctuation only.
func isName(s, punctuation string) bool {
	for _, c := range s {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		if !letter && (c < '0' || c > '9') && !strings.ContainsRune(punctuation, c) {
			return false
		}
	}
	return true
}

// OneOf returns a string that is one of choices.
func (v Value) OneOf(fallback string, choices ...string) string {
	return v.Text(fallback, strings.Join(choices, ", "), func(s string) bool {
		for _, c := range choices {
			if s == c {
				return true
			}
		}
		return false
	})
}
