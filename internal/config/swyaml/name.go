package swyaml

import "strings"

const (
	maxNameBytes = 64
	nameAllowed  = "1 to 64 letters, digits, '.', '_' or '-'"
	nameMarks    = "._-"
)

// Name returns an identifier.
func (v Value) Name() string { return v.name(nameAllowed, nameMarks) }

// ModelName returns an identifier that may also hold '/' and ':', as names of models do.
func (v Value) ModelName() string {
	return v.name("1 to 64 letters, digits, '.', '_', '-', '/' or ':'", nameMarks+"/:")
}

func (v Value) name(allowed, marks string) string {
	return v.Text("", allowed, func(s string) bool {
		return s != "" && len(s) <= maxNameBytes && strings.Trim(s, marks) != "" && isName(s, marks)
	})
}

// isName reports whether a text has only letters, digits and some marks.
func isName(s, marks string) bool {
	for _, c := range s {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		if !letter && (c < '0' || c > '9') && !strings.ContainsRune(marks, c) {
			return false
		}
	}
	return true
}

// OneOf returns a text that is one of a few.
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
