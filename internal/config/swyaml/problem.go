package swyaml

import (
	"fmt"
	"slices"
	"strings"
)

// Problem is one error in a file.
type Problem struct {
	File string
	// Line counts from 1.
	Line int
	// Key is the path of the key, for example targets[2].slots; it is empty for a syntax error.
	Key string
	// Text says what is wrong.
	Text string
	// Allowed says what is allowed; it may be empty.
	Allowed string
}

// String formats the problem on one line.
func (p Problem) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s:%d: ", p.File, p.Line)
	if p.Key != "" {
		b.WriteString(p.Key)
		b.WriteString(": ")
	}
	b.WriteString(p.Text)
	if p.Allowed != "" {
		b.WriteString(" (allowed: ")
		b.WriteString(p.Allowed)
		b.WriteString(")")
	}
	return b.String()
}

// Error holds all problems of a file.
type Error struct {
	// Problems is not empty and is sorted by line.
	Problems []Problem
}

// Error implements error. Each problem is on a line of its own.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, p.String())
	}
	return strings.Join(lines, "\n")
}

// newError sorts the problems by line, keeping the order found within a line.
func newError(problems []Problem) *Error {
	slices.SortStableFunc(problems, func(a, b Problem) int { return a.Line - b.Line })
	return &Error{Problems: problems}
}
