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

// ErrNoTarget means that the document has no target of the name.
var ErrNoTarget = errors.New("no such target in the document")

// SetDraining returns a document in which only one target's draining flag
// differs; all other bytes stay as they are. It returns data itself if the flag
// is already so.
func SetDraining(data []byte, id swid.TargetID, draining bool) ([]byte, error) {
	before, err := Parse("document", data)
	if err != nil {
		return nil, err
	}
	i := indexOf(before.Targets, id)
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
	edited, err := editFlag(data, target, draining)
	if err != nil {
		return nil, err
	}
	return edited, checkEdit(before, edited, i, draining)
}

func indexOf(targets []Target, id swid.TargetID) int {
	for i, t := range targets {
		if t.ID == id {
			return i
		}
	}
	return -1
}

// targetNode returns the mapping of the i-th target of a valid document.
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
		targets, ok := valueOf(root, targetsKey).(*ast.SequenceNode)
		if !ok || i >= len(targets.Values) {
			continue
		}
		if target, ok := targets.Values[i].(*ast.MappingNode); ok {
			return target, nil
		}
	}
	return nil, errors.New("the target's place in the document was not found")
}

func valueOf(m *ast.MappingNode, key string) ast.Node {
	for _, f := range m.Values {
		if f.Key.String() == key {
			return f.Value
		}
	}
	return nil
}

// editFlag replaces the flag's value, or adds the flag beside the id.
func editFlag(data []byte, target *ast.MappingNode, draining bool) ([]byte, error) {
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
	return nil, errors.New("the target's id was not found")
}

// splice replaces some bytes at a token by a text.
func splice(data []byte, t *token.Token, length int, text string) ([]byte, error) {
	offset := 0
	for range t.Position.Line - 1 {
		n := bytes.IndexByte(data[offset:], '\n')
		if n < 0 {
			return nil, errors.New("the target's line was not found")
		}
		offset += n + 1
	}
	line := []rune(string(data[offset:]))
	if t.Position.Column-1 > len(line) {
		return nil, errors.New("the target's column was not found")
	}
	offset += len(string(line[:t.Position.Column-1]))
	if offset+length > len(data) {
		return nil, errors.New("the flag's place was not found")
	}
	return fmt.Appendf(nil, "%s%s%s", data[:offset], text, data[offset+length:]), nil
}

// checkEdit checks that an edit changed one flag and nothing else.
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
