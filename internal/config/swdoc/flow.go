package swdoc

import (
	"bytes"
	"strconv"
	"strings"

	"github.com/sassafraswing/sassafraswing/internal/config/swyaml"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

const (
	organisationsKey = "organisations"
	entryPrefix      = "  - "
	nestedPrefix     = "    "
	flowPrefix       = entryPrefix + "{"
	flowSuffix       = "}\n"
	keyMark          = ": "
	fieldMark        = ", "
	// plainMarks are, beside letters and digits, the characters of block-style lines without quotes, anchors and tags.
	plainMarks = " :._-,[]{}\n"
	flowMarks  = "._-"

	maxFlowNameBytes = 64
)

// flowEntry is an organisation that was read without the YAML parser.
type flowEntry struct {
	organisation Organisation
	// tier is the name of the highest tier; it may be empty.
	tier string
	// index is the place in the list of organisations.
	index int
}

// flowSplit is a document whose plain flow-style organisations, each on a line
// of its own, were taken out.
type flowSplit struct {
	// rest is the document without the lines of entries.
	rest []byte
	// line is that of the key of the organisations, in rest and in the document.
	line int
	// entries are in the order of the list.
	entries []flowEntry
}

// splitFlow takes organisations out of a document. It reports false where the
// text is not so plain that the rest is sure to have the same structure.
func splitFlow(data []byte) (*flowSplit, bool) {
	if len(data) > swyaml.MaxBytes || bytes.IndexByte(data, '\r') >= 0 {
		return nil, false
	}
	s := &flowSplit{}
	start := s.findKey(data)
	if start < 0 {
		return nil, false
	}
	s.rest = append(s.rest, data[:start]...)
	length, ok := s.takeEntries(data[start:])
	if !ok || len(s.entries) == 0 {
		return nil, false
	}
	s.rest = append(s.rest, data[start+length:]...)
	return s, true
}

// findKey returns the offset after the line of the organisations' key, or -1.
// Open brackets before it count against it.
func (s *flowSplit) findKey(data []byte) int {
	depth, offset := 0, 0
	for line := range bytes.Lines(data) {
		s.line++
		offset += len(line)
		if string(line) == organisationsKey+":\n" {
			if depth != 0 {
				return -1
			}
			return offset
		}
		depth = openBrackets(depth, line)
	}
	return -1
}

// openBrackets counts the brackets that are open after a line, as swyaml does.
func openBrackets(depth int, line []byte) int {
	for _, b := range line {
		switch b {
		case '[', '{':
			depth++
		case ']', '}':
			depth = max(0, depth-1)
		}
	}
	return depth
}

// takeEntries reads the list of organisations, and returns its length in bytes.
// The first entry always stays in the rest, so that this has a list.
func (s *flowSplit) takeEntries(list []byte) (int, bool) {
	index, length, taken := 0, 0, false
	for line := range bytes.Lines(list) {
		if !isListLine(line) {
			break
		}
		length += len(line)
		entry, ok := parseFlow(string(line))
		if ok && index > 0 {
			entry.index = index
			s.entries = append(s.entries, entry)
			index++
			taken = true
			continue
		}
		nested := bytes.HasPrefix(line, []byte(nestedPrefix))
		if !isPlain(line) || nested && taken {
			return 0, false
		}
		if bytes.HasPrefix(line, []byte(entryPrefix)) {
			index++
			taken = false
		}
		s.rest = append(s.rest, line...)
	}
	return length, true
}

// isListLine reports whether a line is blank, a comment or indented.
func isListLine(line []byte) bool { return line[0] == ' ' || line[0] == '\n' || line[0] == '#' }

// isPlain reports whether a line closes all that it opens: it is a comment, or
// belongs to an entry and has neither quotes nor marks of YAML with a wider effect.
func isPlain(line []byte) bool {
	text := bytes.TrimSpace(line)
	if openBrackets(0, line) != 0 {
		return false
	}
	if len(text) == 0 || text[0] == '#' {
		return true
	}
	if !bytes.HasPrefix(line, []byte(entryPrefix)) && !bytes.HasPrefix(line, []byte(nestedPrefix)) {
		return false
	}
	return isMadeOf(string(line), plainMarks)
}

// isMadeOf reports whether a text has only ASCII letters, digits and some marks.
func isMadeOf(text, marks string) bool {
	for i := range len(text) {
		if !isLetter(text[i]) && !isDigit(text[i]) && strings.IndexByte(marks, text[i]) < 0 {
			return false
		}
	}
	return true
}

func isLetter(c byte) bool { return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' }

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

// parseFlow reads an organisation from a line that the YAML parser would accept.
func parseFlow(line string) (flowEntry, bool) {
	fields, ok := strings.CutPrefix(line, flowPrefix)
	if !ok {
		return flowEntry{}, false
	}
	fields, ok = strings.CutSuffix(fields, flowSuffix)
	if !ok {
		return flowEntry{}, false
	}
	e := flowEntry{organisation: Organisation{Weight: 1}}
	var known [5]bool
	for fields != "" {
		var key, value string
		key, value, fields, ok = cutField(fields)
		if !ok || !e.set(key, value, &known) {
			return flowEntry{}, false
		}
	}
	return e, known[0] && known[1] && known[2]
}

// cutField cuts the first key and value off the fields of a flow mapping.
func cutField(fields string) (key, value, rest string, ok bool) {
	key, rest, ok = strings.Cut(fields, keyMark)
	if !ok {
		return "", "", "", false
	}
	if strings.HasPrefix(rest, "[") {
		value, rest, ok = strings.Cut(rest[1:], "]")
		if !ok || rest == "" {
			return key, value, rest, ok
		}
		rest, ok = strings.CutPrefix(rest, fieldMark)
		return key, value, rest, ok && rest != ""
	}
	var more bool
	value, rest, more = strings.Cut(rest, fieldMark)
	return key, value, rest, !more || rest != ""
}

// set sets one key once; known holds the required ones first.
func (e *flowEntry) set(key, value string, known *[5]bool) bool {
	o := &e.organisation
	field, ok := 0, false
	switch key {
	case idKey:
		field, ok = 0, isFlowName(value)
		o.ID = swid.OrgID(strings.Clone(value))
	case "class":
		field, ok = 1, isFlowName(value)
		o.Class = swid.OrgClass(value)
	case "keyHashes":
		field = 2
		o.KeyHashes, ok = parseHashes(value)
	case "weight":
		field = 3
		o.Weight, ok = parseWeight(value)
	case "highestTier":
		field, ok = 4, isFlowName(value)
		e.tier = value
	default:
		return false
	}
	ok = ok && !known[field]
	known[field] = true
	return ok
}

// isFlowName accepts names that YAML reads as text in any place.
func isFlowName(s string) bool {
	if s == "" || len(s) > maxFlowNameBytes || !isLetter(s[0]) || !isMadeOf(s, flowMarks) {
		return false
	}
	switch strings.ToLower(s) {
	case "true", "false", "null":
		return false
	}
	return true
}

func parseHashes(list string) ([]string, bool) {
	hashes := make([]string, 0, 1+strings.Count(list, fieldMark))
	for h := range strings.SplitSeq(list, fieldMark) {
		if !isKeyHash(h) {
			return nil, false
		}
		hashes = append(hashes, strings.Clone(h))
	}
	return hashes, true
}

func parseWeight(text string) (float64, bool) {
	if strings.Trim(text, "0123456789.") != "" || !strings.ContainsAny(text[:min(1, len(text))], "0123456789") {
		return 0, false
	}
	w, err := strconv.ParseFloat(text, 64)
	return w, err == nil && w >= minWeight && w <= maxWeight
}
