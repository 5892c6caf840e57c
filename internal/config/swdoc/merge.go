package swdoc

import (
	"github.com/sassafraswing/sassafraswing/internal/config/swyaml"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

// parseSplit passes a document without its plain flow-style organisations to the
// YAML parser, and then adds these organisations to the result. It reports false
// if there is any problem; Parse then calls parseWhole, which reports the problems
// with their lines in the original document.
func parseSplit(file string, data []byte) (*Document, bool) {
	split, ok := splitFlow(data)
	if !ok {
		return nil, false
	}
	m := &mapper{document: &Document{}, split: split}
	if err := swyaml.Read(file, split.rest, m.root); err != nil {
		return nil, false
	}
	return m.document, true
}

// mergeOrganisations inserts the organisations that splitFlow removed at their
// positions in the list. Operators do not see the problems that it reports, since
// parseSplit discards them.
func (m *mapper) mergeOrganisations(v swyaml.Value, listed []Organisation) []Organisation {
	if m.split == nil {
		return listed
	}
	if v.Line() != m.split.line {
		v.Fail("the key is on another line", "")
		return listed
	}
	total := len(listed) + len(m.split.entries)
	merged := make([]Organisation, 0, total)
	for i := range m.split.entries {
		e := &m.split.entries[i]
		gap := e.index - len(merged)
		if gap > len(listed) || !m.completeEntry(e) {
			v.Fail("an organisation is invalid", "")
			return listed
		}
		merged = append(append(merged, listed[:gap]...), e.organisation)
		listed = listed[gap:]
	}
	return append(merged, listed...)
}

// completeEntry sets an entry's class and highest tier. It reports false if the
// id or a key hash occurs twice in the document, or if the tier is not defined.
func (m *mapper) completeEntry(e *flowEntry) bool {
	o := &e.organisation
	unique := m.orgs.add(o.ID)
	for _, h := range o.KeyHashes {
		unique = m.keyHashes.add(h) && unique
	}
	o.Class = m.internClass(o.Class)
	if e.tier == "" {
		return unique
	}
	_, known := m.tiers[e.tier]
	o.HighestTier = m.rankOf(e.tier)
	return unique && known
}

// internClass returns one string for all organisations of a class. The string is
// a copy, so that it does not keep the line that it was read from in memory.
func (m *mapper) internClass(c swid.OrgClass) swid.OrgClass {
	if interned, ok := m.classes[c]; ok {
		return interned
	}
	if m.classes == nil {
		m.classes = make(map[swid.OrgClass]swid.OrgClass)
	}
	copied := swid.OrgClass(append([]byte(nil), c...))
	m.classes[copied] = copied
	return copied
}
