package swdoc

import (
	"fmt"
	"reflect"
	"runtime"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// compareWithWhole returns an error if Parse and parseWhole give different results for data.
func compareWithWhole(data []byte) error {
	got, gotErr := Parse("env.yaml", data)
	want, wantErr := parseWhole("env.yaml", data)
	if fmt.Sprint(gotErr) != fmt.Sprint(wantErr) || !reflect.DeepEqual(got, want) {
		return fmt.Errorf("got %+v, %v\nwant %+v, %v\nin\n%s", got, gotErr, want, wantErr, data)
	}
	return nil
}

func keyHash(i int) string { return fmt.Sprintf("%064x", i) }

// organisationLines draws the lines of one entry, valid or with a mistake that an operator might make.
func organisationLines(rt *rapid.T, i int) string {
	id := rapid.SampledFrom([]string{fmt.Sprintf("o%d", i), "a", "true", "12", "-x", "NULL", "y"}).Draw(rt, "id")
	h := rapid.SampledFrom([]string{keyHash(i), keyHash(1), "0b" + keyHash(i)[2:], "12e3" + keyHash(i)[4:], "zz", strings.ToUpper(fmt.Sprintf("%064x", 0xabcdef))}).Draw(rt, "hash")
	optional := rapid.SampledFrom([]string{"", "", ", weight: 2.5", ", weight: 0", ", weight: 1.2.3", ", weight: 010", ", highestTier: batch", ", highestTier: low", ", id: b", ", more: 1", ", "}).Draw(rt, "optional")
	flow := "{id: " + id + ", class: small, keyHashes: [" + h + "]" + optional + "}"
	return rapid.SampledFrom([]string{
		"  - " + flow + "\n", "  - " + flow + "\n", "  - " + flow + "\n", "  - " + flow + "\n",
		"  - " + flow + " # note\n",
		"  - id: " + id + "\n    class: small\n    keyHashes: [" + h + "]\n",
		"  - id: \"" + id + "\n  - " + flow + "\n    x\"\n    class: small\n    keyHashes: [" + h + "]\n",
		"  - id: " + id + "\n    class: |\n      small\n    keyHashes:\n      - " + h + "\n",
		"  - {id: " + id + ", class: small,\n    keyHashes: [" + h + "]}\n",
		"    class: large\n", "   x\n", "\n", "# it's {\n", "  # a [note]\n", "  -\n", "  - &a " + flow + "\n", "- " + flow + "\n", "\t\n", "  text\n", "  - - a\n",
	}).Draw(rt, "lines")
}

// TestSplitParsesTheSame checks that Parse, which may split the document, gives the
// same result as the YAML parser alone, also for documents with mistakes.
func TestSplitParsesTheSame(t *testing.T) {
	head, tail, _ := strings.Cut(valid, "organisations:\n")
	_, tail, _ = strings.Cut(tail, "generations:")
	rapid.Check(t, func(rt *rapid.T) {
		var b strings.Builder
		b.WriteString(rapid.SampledFrom([]string{"", "", "", "# {\n", "# it's\n", "\ufeff", "x: \"\norganisations:\n  - {}\n\"\n", "---\n"}).Draw(rt, "first"))
		name := rapid.SampledFrom([]string{"Test", "Test", "\"T\norganisations:\n  - {id: q0, class: small, keyHashes: []}\n  - {id: q1, class: small, keyHashes: [" + keyHash(99) + "]}\n\""}).Draw(rt, "name")
		b.WriteString(strings.Replace(head, "Test", name, 1) + "organisations:" + rapid.SampledFrom([]string{"\n", "\n", "\n", " \n", " # all\n", " [\n"}).Draw(rt, "key"))
		for i := range rapid.IntRange(0, 8).Draw(rt, "count") {
			if rapid.IntRange(0, 2).Draw(rt, "plain") > 0 {
				fmt.Fprintf(&b, "  - {id: p%d, class: small, keyHashes: [%064x, %064x]}\n", i, 100+i, 200+i)
				continue
			}
			b.WriteString(organisationLines(rt, 2+i))
		}
		b.WriteString(rapid.SampledFrom([]string{"", "", "organisations:\n", "...\n", "---\n"}).Draw(rt, "last"))
		b.WriteString("generations:" + tail)
		if err := compareWithWhole([]byte(b.String())); err != nil {
			rt.Fatal(err)
		}
	})
}

// TestSplitIsTaken checks that a document with plain flow-style organisations is split.
func TestSplitIsTaken(t *testing.T) {
	data := manyOrganisations(100)
	if _, ok := parseSplit("env.yaml", data); !ok {
		t.Error("a plain document was not split")
	}
	if err := compareWithWhole(data); err != nil {
		t.Error(err)
	}
}

func FuzzSplit(f *testing.F) {
	f.Add([]byte(valid))
	f.Add(manyOrganisations(3))
	f.Fuzz(func(t *testing.T, data []byte) {
		if err := compareWithWhole(data); err != nil {
			t.Fatal(err)
		}
	})
}

// BenchmarkRetained26000 reports the heap memory that a parsed document retains.
func BenchmarkRetained26000(b *testing.B) {
	data := manyOrganisations(26_000)
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		d, err := Parse("env.yaml", data)
		if err != nil {
			b.Fatal(err)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(d)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "retained-B")
	}
}

func BenchmarkParseWhole26000(b *testing.B) {
	data := manyOrganisations(26_000)
	b.SetBytes(int64(len(data)))
	for b.Loop() {
		if _, err := parseWhole("env.yaml", data); err != nil {
			b.Fatal(err)
		}
	}
}
