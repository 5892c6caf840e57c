package swyaml

import (
	"fmt"
	"math"
	"strconv"

	"github.com/goccy/go-yaml/ast"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
)

// Value is the value of a key, which may be absent. If it is absent or invalid, its
// methods return the fallback; an invalid value is also reported.
type Value struct {
	reader *Reader
	// node is nil if the key is absent.
	node ast.Node
	path string
	line int
}

// Present reports whether the key is in the file.
func (v Value) Present() bool { return v.node != nil }

// Line returns the line of the key, counted from 1.
func (v Value) Line() int { return v.line }

// Fail reports a problem with the value.
func (v Value) Fail(text, allowed string) { v.reader.add(v.line, v.path, text, allowed) }

// Object returns the value as a mapping. An absent value is an empty mapping
// whose required keys are not reported.
func (v Value) Object() *Object {
	o := &Object{reader: v.reader, path: v.path, line: v.line}
	switch n := v.node.(type) {
	case nil:
		o.notMapping = true
	case *ast.MappingNode:
		for _, f := range n.Values {
			o.addField(f)
		}
	case *ast.MappingValueNode:
		o.addField(n)
	default:
		o.notMapping = true
		v.Fail("not a mapping", "a mapping of keys to values")
	}
	return o
}

// List returns the elements of a list; an absent value has none.
func (v Value) List() []Value {
	if v.node == nil {
		return nil
	}
	n, ok := v.node.(*ast.SequenceNode)
	if !ok {
		v.Fail("not a list", "a list")
		return nil
	}
	values := make([]Value, 0, len(n.Values))
	for i, e := range n.Values {
		values = append(values, Value{
			reader: v.reader,
			node:   e,
			path:   v.path + "[" + strconv.Itoa(i) + "]",
			line:   lineOf(e, v.line),
		})
	}
	return values
}

// Text returns a string that check accepts. The value may also be a number, whose
// text is returned as it is written in the file.
func (v Value) Text(fallback, allowed string, check func(string) bool) string {
	if v.node == nil {
		return fallback
	}
	text, ok := v.scalar()
	if !ok {
		v.Fail("not a string", allowed)
		return fallback
	}
	if !check(text) {
		v.Fail(fmt.Sprintf("%q is not valid", text), allowed)
		return fallback
	}
	return text
}

// Bool returns a boolean.
func (v Value) Bool(fallback bool) bool {
	if v.node == nil {
		return fallback
	}
	n, ok := v.node.(*ast.BoolNode)
	if !ok {
		v.Fail("not a boolean", "true or false")
		return fallback
	}
	return n.Value
}

// Int returns a whole number within bounds.
func (v Value) Int(fallback, least, most int64) int64 {
	if v.node == nil {
		return fallback
	}
	allowed := fmt.Sprintf("a whole number from %d to %d", least, most)
	text, ok := v.scalar()
	if !ok {
		v.Fail("not a whole number", allowed)
		return fallback
	}
	number, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		v.Fail(fmt.Sprintf("%q is not a whole number", text), allowed)
		return fallback
	}
	return inRange(v, number, fallback, least, most, allowed, text)
}

// Float returns a number within bounds.
func (v Value) Float(fallback, least, most float64) float64 {
	if v.node == nil {
		return fallback
	}
	allowed := fmt.Sprintf("a number from %g to %g", least, most)
	text, ok := v.scalar()
	if !ok {
		v.Fail("not a number", allowed)
		return fallback
	}
	number, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(number) {
		v.Fail(fmt.Sprintf("%q is not a number", text), allowed)
		return fallback
	}
	return inRange(v, number, fallback, least, most, allowed, text)
}

// Span returns a duration, which must be written with its unit.
func (v Value) Span(fallback, least, most swclock.Millis) swclock.Millis {
	allowed := fmt.Sprintf("a span with a unit of ms, s, m or h, from %s to %s", FormatSpan(least), FormatSpan(most))
	return withUnit(v, spanUnits, "a span of time", allowed, fallback, least, most)
}

// Size returns a number of bytes, which must be written with its unit.
func (v Value) Size(fallback, least, most int) int {
	allowed := fmt.Sprintf("a size with a unit of B, KiB, MiB or GiB, from %s to %s", FormatSize(least), FormatSize(most))
	return withUnit(v, sizeUnits, "a size", allowed, fallback, least, most)
}

// withUnit returns a whole number that is written with one of the units.
// kind describes the expected value in messages, for example "a size".
func withUnit[N ~int | ~int64](v Value, units []unit, kind, allowed string, fallback, least, most N) N {
	if v.node == nil {
		return fallback
	}
	text, ok := v.scalar()
	if !ok {
		v.Fail("not "+kind, allowed)
		return fallback
	}
	n, ok := parseUnit(text, units)
	if !ok {
		v.Fail(fmt.Sprintf("%q is not %s", text, kind), allowed)
		return fallback
	}
	return inRange(v, N(n), fallback, least, most, allowed, text)
}

// number holds the types that inRange compares.
type number interface {
	~int | ~int64 | ~float64
}

func inRange[N number](v Value, n, fallback, least, most N, allowed, text string) N {
	if n < least || n > most {
		v.Fail(text+" is out of range", allowed)
		return fallback
	}
	return n
}

// scalar returns the text of a string, or of a number as it is written in the
// file. It reports false for other nodes, booleans and null included.
func (v Value) scalar() (string, bool) {
	switch n := v.node.(type) {
	case *ast.StringNode:
		return n.Value, true
	case *ast.LiteralNode:
		return n.Value.Value, n.Value != nil
	case *ast.IntegerNode:
		return n.Token.Value, true
	case *ast.FloatNode:
		return n.Token.Value, true
	}
	return "", false
}
