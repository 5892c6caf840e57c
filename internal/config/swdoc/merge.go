package swdoc

import (
	"github.com/sassafraswing/sassafraswing/internal/config/swyaml"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

// parseSplit parses a document without most of its organisations and adds
// these. It reports false where there is any problem; the whole parser says which.
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

// merge adds the organisations that were taken out to those of the list.
func (m *mapper) merge(v swyaml.Value, listed []Organisation) []Organisation {
	if m.split == nil {
		return listed
	}
	if v.Line() != m.split.line {
		v.Fail("the key stands elsewhere", "")
		return listed
	}
	total := len(listed) + len(m.split.entries)
	merged := make([]Organisation, 0, total)
	for i := range m.split.entries {
		e := &m.split.entries[i]
		gap := e.index - len(merged)
		if gap > len(listed) || !m.accept(e) {
			v.Fail("an entry does not fit", "")
			return listed
		}
		merged = append(append(merged, listed[:gap]...), e.organisation)
		listed = listed[gap:]
	}
	return append(merged, listed...)
}

// accept checks an entry against the rest of the document, and completes it.
func (m *mapper) accept(e *flowEntry) bool {
	o := &e.organisation
	fits := m.orgs.add(o.ID)
	for _, h := range o.KeyHashes {
		fits = m.keyHashes.add(h) && fits
	}
	o.Class = m.class(o.Class)
	if e.tier == "" {
		return fits
	}
	_, known := m.tiers[e.tier]
	o.HighestTier = m.rankOf(e.tier)
	return fits && known
}

// class returns one text for all organisations of a class, apart from the line that it was read from.
func (m *mapper) class(c swid.OrgClass) swid.OrgClass {
	if known, ok := m.classes[c]; ok {
		return known
	}
	if m.classes == nil {
		m.classes = make(map[swid.OrgClass]swid.OrgClass)
	}
	kept := swid.OrgClass(append([]byte(nil), c...))
	m.classes[kept] = kept
	return kept
}
