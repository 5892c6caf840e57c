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

// Diff lists what differs between two documents.
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
	d.tierOrder(before, after)
	return d.found
}

type differ struct{ found []Difference }

func (d *differ) add(kind ChangeKind, key, before, after string) {
	d.found = append(d.found, Difference{Kind: kind, Key: key, Before: before, After: after})
}

// tierOrder reports a new order of the tiers, which is their rank.
func (d *differ) tierOrder(before, after *Document) {
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

// diffList compares entries that have the same name.
func diffList[T any](d *differ, what string, before, after []T, name func(T) string) {
	old := make(map[string]T, len(before))
	for _, b := range before {
		old[name(b)] = b
	}
	for _, a := range after {
		key := what + " " + name(a)
		b, ok := old[name(a)]
		if !ok {
			d.add(Added, key, "", fmt.Sprintf("%+v", a))
			continue
		}
		delete(old, name(a))
		d.fields(key, reflect.ValueOf(b), reflect.ValueOf(a))
	}
	for _, b := range before {
		if _, ok := old[name(b)]; ok {
			d.add(Removed, what+" "+name(b), fmt.Sprintf("%+v", b), "")
		}
	}
}

// fields compares two structs field by field.
func (d *differ) fields(key string, before, after reflect.Value) {
	for i := range before.NumField() {
		b, a := before.Field(i).Interface(), after.Field(i).Interface()
		if !reflect.DeepEqual(b, a) {
			d.add(Changed, key+" "+before.Type().Field(i).Name, fmt.Sprint(b), fmt.Sprint(a))
		}
	}
}
