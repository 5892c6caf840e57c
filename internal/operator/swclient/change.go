package swclient

import (
	"context"
	"crypto/sha256"
	"flag"
	"fmt"
	"net/http"
	"net/url"

	"github.com/google/uuid"

	"github.com/sassafraswing/sassafraswing/internal/config/swdoc"
	"github.com/sassafraswing/sassafraswing/internal/config/swstore"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
	"github.com/sassafraswing/sassafraswing/internal/operator/swadmin"
)

// unsetBase is the value of the -base flag if it is not given.
const unsetBase = -1

// validate checks a file locally, without calling a daemon.
func (s *session) validate(arguments []string) error {
	if len(arguments) != 1 {
		return usageErrorf("validate takes one file")
	}
	data, err := readFile(arguments[0])
	if err != nil {
		return err
	}
	d, err := swdoc.Parse(arguments[0], data)
	if err != nil {
		return err
	}
	return s.print(summary{Organisations: len(d.Organisations), Services: len(d.Services), Targets: len(d.Targets)})
}

// diff prints the differences from the newest document to a file, or between two files.
func (s *session) diff(arguments []string) error {
	if len(arguments) != 1 && len(arguments) != 2 {
		return usageErrorf("diff takes one or two files")
	}
	var before *swdoc.Document
	var err error
	if len(arguments) == 2 {
		before, err = parseFile(arguments[0])
	} else {
		before, err = s.newestDocument()
	}
	if err != nil {
		return err
	}
	after, err := parseFile(arguments[len(arguments)-1])
	if err != nil {
		return err
	}
	return s.print(differences(swdoc.Diff(before, after)))
}

func parseFile(path string) (*swdoc.Document, error) {
	data, err := readFile(path)
	if err != nil {
		return nil, err
	}
	return swdoc.Parse(path, data)
}

// newestDocument returns the newest document in the platform, read through the
// daemon. If the platform has none yet, the returned document is empty.
func (s *session) newestDocument() (*swdoc.Document, error) {
	c, ctx, cancel, err := s.client(s.server)
	if err != nil {
		return nil, err
	}
	defer cancel()
	d, err := c.document(ctx)
	if err != nil || d.version == 0 {
		return &swdoc.Document{}, err
	}
	return swdoc.Parse("the document in the platform", d.data)
}

// changeFlags holds the flags of the commands that change the document.
type changeFlags struct {
	base     int64
	changeID string
}

func (f *changeFlags) register(flags *flag.FlagSet) {
	flags.Int64Var(&f.base, "base", unsetBase, "version that the change is based on; 0 if there is no document yet")
	flags.StringVar(&f.changeID, "change", "", "id of the change; pass the same id to repeat a change whose response was lost")
}

func (s *session) apply(arguments []string) error {
	flags := s.flags("apply")
	var f changeFlags
	f.register(flags)
	if err := parseFlags(flags, arguments); err != nil {
		return err
	}
	if f.base < 0 || flags.NArg() != 1 {
		return usageErrorf("apply takes -base and one file")
	}
	data, err := readFile(flags.Arg(0))
	if err != nil {
		return err
	}
	if _, err := swdoc.Parse(flags.Arg(0), data); err != nil {
		return err
	}
	c, ctx, cancel, err := s.client(s.server)
	if err != nil {
		return err
	}
	defer cancel()
	return s.applyAndPrint(ctx, c, f, data)
}

// promote applies the newest document of one environment to another, byte for byte.
func (s *session) promote(arguments []string) error {
	flags := s.flags("promote")
	var f changeFlags
	f.register(flags)
	to := flags.String("to", "", "URL of a daemon of the environment to promote to")
	if err := parseFlags(flags, arguments); err != nil {
		return err
	}
	if *to == "" || flags.NArg() != 0 {
		return usageErrorf("promote takes -to and no file; -server names the environment to promote from")
	}
	source, ctx, cancel, err := s.client(s.server)
	if err != nil {
		return err
	}
	defer cancel()
	destination, err := newClient(*to, s.keys)
	if err != nil {
		return err
	}
	d, err := source.document(ctx)
	if err != nil {
		return err
	}
	if d.version == 0 {
		return &swadmin.Failure{Code: swadmin.CodeNotFound, Message: "there is no document to promote"}
	}
	if f.base == unsetBase {
		current, err := destination.document(ctx)
		if err != nil {
			return err
		}
		f.base = int64(current.version)
	}
	fmt.Fprintf(s.errorOutput, "promoting version %d, SHA-256 %x\n", d.version, sha256.Sum256(d.data))
	return s.applyAndPrint(ctx, destination, f, d.data)
}

// applyAndPrint applies a document and prints the resulting version. If the
// outcome is unknown, it prints the flags with which the change can be repeated safely.
func (s *session) applyAndPrint(ctx context.Context, c *client, f changeFlags, data []byte) error {
	if f.changeID == "" {
		f.changeID = uuid.NewString()
	}
	applied, err := c.apply(ctx, swstore.Change{ID: swstore.ChangeID(f.changeID), Base: swid.ConfigVersion(f.base), Document: data})
	if err != nil {
		if mayHaveTakenEffect(err) {
			fmt.Fprintf(s.errorOutput, "the outcome is unknown; repeat with -base %d -change %s\n", f.base, f.changeID)
		}
		return err
	}
	return s.print(appliedChange(applied))
}

func (s *session) drain(arguments []string) error   { return s.setDraining("drain", arguments) }
func (s *session) undrain(arguments []string) error { return s.setDraining("undrain", arguments) }

func (s *session) setDraining(verb string, arguments []string) error {
	if len(arguments) != 2 || arguments[0] != "target" && arguments[0] != "host" {
		return usageErrorf("%s takes target or host, and an id", verb)
	}
	c, ctx, cancel, err := s.client(s.server)
	if err != nil {
		return err
	}
	defer cancel()
	path := "/" + arguments[0] + "s/" + url.PathEscape(arguments[1]) + "/" + verb
	if arguments[0] == "host" {
		_, _, err := c.call(ctx, http.MethodPost, path, nil)
		return err
	}
	query := url.Values{}
	query.Set(swadmin.ChangeParameter, uuid.NewString())
	applied, err := c.sendChange(ctx, http.MethodPost, path+"?"+query.Encode(), nil)
	if err != nil {
		return err
	}
	return s.print(appliedChange(applied))
}
