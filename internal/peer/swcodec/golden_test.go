package swcodec

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/sassafraswing/sassafraswing/internal/peer/swmsg"
)

// writeGolden writes the golden file instead of checking it. It is used in a checkout of a released build.
var writeGolden = flag.Bool("golden", false, "write the messages of this build to testdata")

// goldenPath has a line for each message: its kind, its value and its frame as the released build encoded it.
var goldenPath = filepath.Join("testdata", "messages.golden")

// goldenPerKind is the number of messages of each kind.
const goldenPerKind = 4

// TestGolden checks that this build reads the frames of the released one, and that the released one reads the frames of
// this build, which are the same for the same values. Fields that were added since are zero.
func TestGolden(t *testing.T) {
	if *writeGolden {
		if err := os.WriteFile(goldenPath, encodeGolden(t), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	golden, err := os.ReadFile(goldenPath)
	if err != nil {
		t.Fatal(err)
	}
	kinds := make(map[string]reflect.Type)
	for _, m := range samples {
		kinds[kindOf(m)] = reflect.TypeOf(m)
	}
	seen := make(map[string]bool)
	for i, line := range strings.Split(strings.TrimSpace(string(golden)), "\n") {
		fields := strings.Split(line, "\t")
		if len(fields) != 3 || kinds[fields[0]] == nil {
			t.Fatalf("line %d: %q is no message", i+1, line)
		}
		v := reflect.New(kinds[fields[0]])
		if err := json.Unmarshal([]byte(fields[1]), v.Interface()); err != nil {
			t.Fatalf("line %d: %v", i+1, err)
		}
		frame, err := hex.DecodeString(fields[2])
		if err != nil {
			t.Fatalf("line %d: %v", i+1, err)
		}
		want := Batch{Messages: []swmsg.Message{v.Elem().Interface().(swmsg.Message)}}
		if got, err := Decode(frame); err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("line %d: decoded %+v, %v, want %+v", i+1, got, err, want)
		}
		if encoded, err := Append(nil, want); err != nil || !bytes.Equal(encoded, frame) {
			t.Errorf("line %d: encoded %x, %v, want %x", i+1, encoded, err, frame)
		}
		seen[fields[0]] = true
	}
	if len(seen) < len(samples)-newKinds {
		t.Errorf("%d kinds of message, want %d", len(seen), len(samples)-newKinds)
	}
}

// newKinds is the number of kinds of message that the released build does not have.
const newKinds = 1

func kindOf(m swmsg.Message) string { return reflect.TypeOf(m).Name() }

func encodeGolden(t *testing.T) []byte {
	var golden bytes.Buffer
	for _, sample := range samples {
		values := rapid.Custom(func(t *rapid.T) swmsg.Message {
			rapid.Bool().Draw(t, "unused") // a message without fields draws nothing, which rapid rejects
			v := reflect.New(reflect.TypeOf(sample)).Elem()
			fill(t, v)
			return v.Interface().(swmsg.Message)
		})
		for seed := range goldenPerKind {
			m := values.Example(seed)
			value, err := json.Marshal(m)
			if err != nil {
				t.Fatal(err)
			}
			frame, err := Append(nil, Batch{Messages: []swmsg.Message{m}})
			if err != nil {
				t.Fatal(err)
			}
			fmt.Fprintf(&golden, "%s\t%s\t%x\n", kindOf(sample), value, frame)
		}
	}
	return golden.Bytes()
}
