package swdoc

import (
	"fmt"
	"reflect"
	"slices"
)

// ChangeKind says how a part of a document changed.
type ChangeKind string

// Kinds of change.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Difference is one entry that differs between two documents.
type Difference struct {
	Kind ChangeKind
	// Key names the entry, for example "target engine-1", or its field, for example "target engine-1 Slots".
	Key string
	// Before and After are the values; one is empty where the entry was added or removed.
	Before string
	After  string
}

// Diff returns the differences between two documents.
func Diff(before, after *Document) []Difference {
	d := &differ{}
	if before.Name != after.Name {
		d.add(Changed, "name", before.Name, after.Name)
	}
	diffList(d, "region", before.Regions, after.Regions, func(r Region) string { return string(r.ID) })
	diffList(d, "tier", before.Tiers, after.Tiers, func(t Tier) string { return t.Name })
	diffList(d, "organisation", before.Organisations, after.Organisations, func(o Organisation) string { return string(o.ID) })
	diffList(d, "generation", before.Generations, after.Generations, func(g Generation) string { return string(g.ID) })
	diffList(d, "service", before.Services, after.Services, func(s Service) string { return string(s.ID) })
	diffList(d, "target", before.Targets, after.Targets, func(t Target) string { return string(t.ID) })
	d.compareTierOrder(before, after)
	return d.differences
}

type differ struct{ differences []Difference }

func (d *differ) add(kind ChangeKind, key, before, after string) {
	d.differences = append(d.differences, Difference{Kind: kind, Key: key, Before: before, After: after})
}

// compareTierOrder reports a changed order of the tiers; a tier's rank is its position.
func (d *differ) compareTierOrder(before, after *Document) {
	b, a := tierNames(before), tierNames(after)
	if !slices.Equal(b, a) {
		d.add(Changed, "order of tiers", fmt.Sprint(b), fmt.Sprint(a))
	}
}

func tierNames(d *Document) []string {
	names := make([]string, 0, len(d.Tiers))
	for _, t := range d.Tiers {
		names = append(names, t.Name)
	}
	return names
}

// diffList matches the entries of two lists by name, and reports those added, removed or changed.
func diffList[T any](d *differ, entryKind string, before, after []T, name func(T) string) {
	old := make(map[string]T, len(before))
	for _, b := range before {
		old[name(b)] = b
	}
	for _, a := range after {
		key := entryKind + " " + name(a)
		b, ok := old[name(a)]
		if !ok {
			d.add(Added, key, "", fmt.Sprintf("%+v", a))
			continue
		}
		delete(old, name(a))
		d.compareFields(key, reflect.ValueOf(b), reflect.ValueOf(a))
	}
	for _, b := range before {
		if _, ok := old[name(b)]; ok {
			d.add(Removed, entryKind+" "+name(b), fmt.Sprintf("%+v", b), "")
		}
	}
}

// compareFields compares two structs field by field.
func (d *differ) compareFields(key string, before, after reflect.Value) {
	for i := range before.NumField() {
		b, a := before.Field(i).Interface(), after.Field(i).Interface()
		if !reflect.DeepEqual(b, a) {
			d.add(Changed, key+" "+before.Type().Field(i).Name, fmt.Sprint(b), fmt.Sprint(a))
		}
	}
}
