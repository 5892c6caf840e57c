// Package swyaml reads YAML files strictly: every key must be known and
// occur once, every value must have its type, range and unit, and all problems
// of a file are reported together with their lines.
//
// Anchors, aliases, tags, merge keys and further documents are refused, so that
// every value is written at the place where it applies.
package swyaml

import (
	"bytes"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/pkg/errors"
)

const (
	// MaxBytes bounds the size of a file.
	MaxBytes = 32 << 20
	// maxNesting bounds the depth of brackets, which the parser handles by recursion.
	maxNesting = 64
	// maxIndent bounds the indentation of a line, dashes included.
	maxIndent = 256
)

// Reader collects the problems of one file while its content is read.
type Reader struct {
	file     string
	problems []Problem
}

// Read parses a file and calls mapRoot with its top-level mapping. It returns an
// *Error if there are problems in the file's syntax or in the values that mapRoot reads.
func Read(file string, data []byte, mapRoot func(*Object)) error {
	r := &Reader{file: file}
	if root, ok := r.parse(data); ok {
		o := Value{reader: r, node: root, line: 1}.Object()
		mapRoot(o)
		o.ReportUnknown()
	}
	if len(r.problems) > 0 {
		return newError(r.problems)
	}
	return nil
}

// parse returns the body of the file's only document.
func (r *Reader) parse(data []byte) (ast.Node, bool) {
	if len(data) > MaxBytes {
		r.add(1, "", "the file is too large", "at most 32MiB")
		return nil, false
	}
	if tooDeep(data) {
		r.add(1, "", "nested too deeply", "at most 64 brackets, and 256 columns of indentation")
		return nil, false
	}
	file, err := parser.ParseBytes(data, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		r.addSyntax(err)
		return nil, false
	}
	var body ast.Node
	for _, d := range file.Docs {
		if d.Body == nil {
			continue
		}
		if body != nil {
			r.add(lineOf(d.Body, 1), "", "a second document in the file", "one document")
			return nil, false
		}
		body = d.Body
	}
	if body == nil {
		r.add(1, "", "the file is empty", "a mapping")
		return nil, false
	}
	return body, true
}

// addSyntax reports an error of the YAML parser.
func (r *Reader) addSyntax(err error) {
	var syntax *yaml.SyntaxError
	if errors.As(err, &syntax) && syntax.Token != nil && syntax.Token.Position != nil {
		r.add(max(syntax.Token.Position.Line, 1), "", syntax.Message, "")
		return
	}
	r.add(1, "", strings.TrimSpace(err.Error()), "")
}

func (r *Reader) add(line int, key, text, allowed string) {
	r.problems = append(r.problems, Problem{File: r.file, Line: line, Key: key, Text: text, Allowed: allowed})
}

// tooDeep reports whether a file is nested so deeply that the parser would take
// very long. It ignores quoting and comments, so unclosed brackets there count as
// nesting too. The limits are far above what any file of this program needs.
func tooDeep(data []byte) bool {
	depth := 0
	for line := range bytes.Lines(data) {
		if len(line)-len(bytes.TrimLeft(line, " -?")) > maxIndent {
			return true
		}
		for _, b := range line {
			switch b {
			case '[', '{':
				depth++
			case ']', '}':
				depth = max(depth-1, 0)
			}
			if depth > maxNesting {
				return true
			}
		}
	}
	return false
}

// lineOf returns a node's line, or fallback if the parser gives none.
func lineOf(n ast.Node, fallback int) int {
	if n == nil {
		return fallback
	}
	t := n.GetToken()
	if t == nil || t.Position == nil || t.Position.Line < 1 {
		return fallback
	}
	return t.Position.Line
}
