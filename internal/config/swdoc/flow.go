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
	keySeparator     = ": "
	fieldSeparator   = ", "
	// plainPunctuation holds the characters besides letters and digits that may
	// occur in entry lines without quotes, anchors and tags.
	plainPunctuation = " :._-,[]{}\n"
	namePunctuation  = "._-"

	maxFlowNameBytes = 64
)

// flowEntry is an organisation in YAML flow style that was parsed without the YAML parser.
type flowEntry struct {
	organisation Organisation
	// tier is the name of the highest tier; it may be empty.
	tier string
	// index is the position in the list of organisations.
	index int
}

// flowSplit is a document from which the organisations in plain flow style,
// each on a line of its own, were removed, so that the YAML parser need not
// process them.
type flowSplit struct {
	// rest is the document without the lines of the entries.
	rest []byte
	// line is the line number of the organisations key, which is the same in rest and in the document.
	line int
	// entries are the removed organisations in the order of the list.
	entries []flowEntry
}

// splitFlow removes the plain flow-style organisations from a document. It
// reports false if the removal might change the structure of the rest, or if
// there is nothing to remove.
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
	length, ok := s.extractEntries(data[start:])
	if !ok || len(s.entries) == 0 {
		return nil, false
	}
	s.rest = append(s.rest, data[start+length:]...)
	return s, true
}

// findKey returns the offset after the line of the organisations key. It returns
// -1 if there is no such line, or if a bracket is still open before it.
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

// openBrackets returns the number of open brackets after a line, given the number
// before it. Like swyaml, it ignores quoting.
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

// extractEntries splits the list of organisations into entries and rest, and
// returns the length of the list in bytes. The first entry always stays in rest,
// so that the list there is not empty. extractEntries reports false for a line of
// the rest that is not plain, or that continues an extracted entry.
func (s *flowSplit) extractEntries(list []byte) (int, bool) {
	index, length, extracted := 0, 0, false
	for line := range bytes.Lines(list) {
		if !isListLine(line) {
			break
		}
		length += len(line)
		entry, ok := parseFlowEntry(string(line))
		if ok && index > 0 {
			entry.index = index
			s.entries = append(s.entries, entry)
			index++
			extracted = true
			continue
		}
		nested := bytes.HasPrefix(line, []byte(nestedPrefix))
		if !isPlain(line) || nested && extracted {
			return 0, false
		}
		if bytes.HasPrefix(line, []byte(entryPrefix)) {
			index++
			extracted = false
		}
		s.rest = append(s.rest, line...)
	}
	return length, true
}

// isListLine reports whether a line is blank, a comment or indented.
func isListLine(line []byte) bool { return line[0] == ' ' || line[0] == '\n' || line[0] == '#' }

// isPlain reports whether a line of the list closes every bracket that it opens,
// and is blank, a comment, or part of an entry without quotes and without YAML
// syntax that affects other lines.
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
	return hasOnlyAlnumOr(string(line), plainPunctuation)
}

// hasOnlyAlnumOr reports whether text consists of ASCII letters, digits and the given punctuation only.
func hasOnlyAlnumOr(text, punctuation string) bool {
	for i := range len(text) {
		if !isLetter(text[i]) && !isDigit(text[i]) && strings.IndexByte(punctuation, text[i]) < 0 {
			return false
		}
	}
	return true
}

func isLetter(c byte) bool { return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' }

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

// parseFlowEntry parses a line that holds one organisation in flow style. It
// accepts only lines that the YAML parser would accept.
func parseFlowEntry(line string) (flowEntry, bool) {
	fields, ok := strings.CutPrefix(line, flowPrefix)
	if !ok {
		return flowEntry{}, false
	}
	fields, ok = strings.CutSuffix(fields, flowSuffix)
	if !ok {
		return flowEntry{}, false
	}
	e := flowEntry{organisation: Organisation{Weight: 1}}
	var seen [5]bool
	for fields != "" {
		var key, value string
		key, value, fields, ok = cutField(fields)
		if !ok || !e.setField(key, value, &seen) {
			return flowEntry{}, false
		}
	}
	return e, seen[0] && seen[1] && seen[2]
}

// cutField cuts the first key and value off the fields of a flow mapping.
func cutField(fields string) (key, value, rest string, ok bool) {
	key, rest, ok = strings.Cut(fields, keySeparator)
	if !ok {
		return "", "", "", false
	}
	if strings.HasPrefix(rest, "[") {
		value, rest, ok = strings.Cut(rest[1:], "]")
		if !ok || rest == "" {
			return key, value, rest, ok
		}
		rest, ok = strings.CutPrefix(rest, fieldSeparator)
		return key, value, rest, ok && rest != ""
	}
	var more bool
	value, rest, more = strings.Cut(rest, fieldSeparator)
	return key, value, rest, !more || rest != ""
}

// setField sets the field of a key. It reports false if the key is unknown, was
// seen before or has an invalid value. The first three elements of seen are the
// required keys.
func (e *flowEntry) setField(key, value string, seen *[5]bool) bool {
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
	ok = ok && !seen[field]
	seen[field] = true
	return ok
}

// isFlowName reports whether s is a valid name that YAML parses as a string in every context.
func isFlowName(s string) bool {
	if s == "" || len(s) > maxFlowNameBytes || !isLetter(s[0]) || !hasOnlyAlnumOr(s, namePunctuation) {
		return false
	}
	switch strings.ToLower(s) {
	case "true", "false", "null":
		return false
	}
	return true
}

func parseHashes(list string) ([]string, bool) {
	hashes := make([]string, 0, 1+strings.Count(list, fieldSeparator))
	for h := range strings.SplitSeq(list, fieldSeparator) {
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
