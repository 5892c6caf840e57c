package swdoc

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
	"github.com/pkg/errors"

	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

const (
	targetsKey  = "targets"
	idKey       = "id"
	drainingKey = "draining"
)

// ErrNoTarget means that the document has no target with the given ID.
var ErrNoTarget = errors.New("no such target in the document")

// SetDraining returns a copy of data in which only the draining flag of one
// target is changed; all other bytes stay the same. It returns data itself if
// the flag already has that value.
func SetDraining(data []byte, id swid.TargetID, draining bool) ([]byte, error) {
	before, err := Parse("document", data)
	if err != nil {
		return nil, err
	}
	i := targetIndex(before.Targets, id)
	if i < 0 {
		return nil, errors.Wrap(ErrNoTarget, string(id))
	}
	if before.Targets[i].Draining == draining {
		return data, nil
	}
	target, err := targetNode(data, i)
	if err != nil {
		return nil, err
	}
	edited, err := setDrainingFlag(data, target, draining)
	if err != nil {
		return nil, err
	}
	return edited, checkEdit(before, edited, i, draining)
}

func targetIndex(targets []Target, id swid.TargetID) int {
	for i, t := range targets {
		if t.ID == id {
			return i
		}
	}
	return -1
}

// targetNode returns the YAML mapping of the target at index i of a valid document.
func targetNode(data []byte, i int) (*ast.MappingNode, error) {
	file, err := parser.ParseBytes(data, 0)
	if err != nil {
		return nil, errors.Wrap(err, "parse document")
	}
	for _, d := range file.Docs {
		root, ok := d.Body.(*ast.MappingNode)
		if !ok {
			continue
		}
		targets, ok := mappingValue(root, targetsKey).(*ast.SequenceNode)
		if !ok || i >= len(targets.Values) {
			continue
		}
		if target, ok := targets.Values[i].(*ast.MappingNode); ok {
			return target, nil
		}
	}
	return nil, errors.New("the target was not found in the YAML tree")
}

func mappingValue(m *ast.MappingNode, key string) ast.Node {
	for _, f := range m.Values {
		if f.Key.String() == key {
			return f.Value
		}
	}
	return nil
}

// setDrainingFlag replaces the value of the draining flag, or inserts the flag before the id.
func setDrainingFlag(data []byte, target *ast.MappingNode, draining bool) ([]byte, error) {
	value := strconv.FormatBool(draining)
	for _, f := range target.Values {
		if f.Key.String() == drainingKey {
			t := f.Value.GetToken()
			return splice(data, t, len(t.Value), value)
		}
	}
	for _, f := range target.Values {
		if f.Key.String() != idKey {
			continue
		}
		t := f.Key.GetToken()
		flag := drainingKey + ": " + value
		if target.IsFlowStyle {
			return splice(data, t, 0, flag+", ")
		}
		return splice(data, t, 0, flag+"\n"+strings.Repeat(" ", t.Position.Column-1))
	}
	return nil, errors.New("the target's id key was not found")
}

// splice replaces length bytes at a token's position with text. The column of a
// token counts characters, not bytes.
func splice(data []byte, t *token.Token, length int, text string) ([]byte, error) {
	offset := 0
	for range t.Position.Line - 1 {
		n := bytes.IndexByte(data[offset:], '\n')
		if n < 0 {
			return nil, errors.New("the token's line is beyond the end of the document")
		}
		offset += n + 1
	}
	rest := []rune(string(data[offset:]))
	if t.Position.Column-1 > len(rest) {
		return nil, errors.New("the token's column is beyond the end of the document")
	}
	offset += len(string(rest[:t.Position.Column-1]))
	if offset+length > len(data) {
		return nil, errors.New("the value to replace extends beyond the end of the document")
	}
	return fmt.Appendf(nil, "%s%s%s", data[:offset], text, data[offset+length:]), nil
}

// checkEdit checks that an edit changed the draining flag of the target at index i and nothing else.
func checkEdit(before *Document, edited []byte, i int, draining bool) error {
	after, err := Parse("edited document", edited)
	if err != nil {
		return errors.Wrap(err, "edit the draining flag")
	}
	want := *before
	want.Targets = append([]Target(nil), before.Targets...)
	want.Targets[i].Draining = draining
	if changes := Diff(&want, after); len(changes) > 0 {
		return errors.Errorf("the edit would also change %s", changes[0].Key)
	}
	return nil
}
