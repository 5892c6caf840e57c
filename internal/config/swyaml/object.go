package swyaml

import (
	"strings"

	"github.com/goccy/go-yaml/ast"
)

// Object is a mapping. The caller reads each known key once with Optional or
// Required; ReportUnknown reports the other keys as unknown.
type Object struct {
	reader *Reader
	path   string
	line   int
	// fields are in the file's order, without duplicates.
	fields []field
	// known holds the keys that the caller has read, in the order of the calls.
	known []string
	// notMapping is set if the value is absent or not a mapping; its required keys are
	// then not reported as missing.
	notMapping bool
}

type field struct {
	key   string
	line  int
	value ast.Node
	read  bool
}

// Optional returns a key's value, which may be absent.
func (o *Object) Optional(key string) Value {
	o.known = append(o.known, key)
	v := Value{reader: o.reader, path: joinPath(o.path, key), line: o.line}
	for i := range o.fields {
		if f := &o.fields[i]; f.key == key {
			f.read = true
			v.node = f.value
			v.line = f.line
			break
		}
	}
	return v
}

// Required returns a key's value. It reports the key as missing if the mapping does
// not contain it, unless the value of o is absent or not a mapping.
func (o *Object) Required(key string) Value {
	v := o.Optional(key)
	if v.node == nil && !o.notMapping {
		v.Fail("the key is missing", "")
	}
	return v
}

// ReportUnknown reports each key that was not read, as an unknown key.
func (o *Object) ReportUnknown() {
	for _, f := range o.fields {
		if !f.read {
			o.reader.add(f.line, joinPath(o.path, f.key), "unknown key", strings.Join(o.known, ", "))
		}
	}
}

// KnownKeys returns the keys that the caller has read, whether present or not, in the
// order of the calls.
func (o *Object) KnownKeys() []string { return o.known }

// addField adds a key and its value, or reports the key if it is not a string or occurs twice.
func (o *Object) addField(n *ast.MappingValueNode) {
	key, ok := keyText(n.Key)
	line := lineOf(n.Key, o.line)
	if !ok {
		o.reader.add(line, o.path, "a key that is not a plain string", "a name")
		return
	}
	for _, f := range o.fields {
		if f.key == key {
			o.reader.add(line, joinPath(o.path, key), "the key occurs twice", "once")
			return
		}
	}
	o.fields = append(o.fields, field{key: key, line: line, value: n.Value})
}

// keyText returns the text of a key, and whether the key is a string.
func keyText(n ast.MapKeyNode) (string, bool) {
	s, ok := n.(*ast.StringNode)
	if !ok {
		return "", false
	}
	return s.Value, true
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
