package swclient

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"

	"github.com/sassafraswing/sassafraswing/internal/config/swdoc"
	"github.com/sassafraswing/sassafraswing/internal/operator/swadmin"
)

// printable is a result that can be printed as a table or as JSON.
type printable interface {
	table(w io.Writer)
	encode() ([]byte, error)
}

func (s *session) print(p printable) error {
	if !s.json {
		w := tabwriter.NewWriter(s.output, 0, 0, 2, ' ', 0)
		p.table(w)
		return errors.Wrap(w.Flush(), "print")
	}
	data, err := p.encode()
	if err != nil {
		return err
	}
	_, err = s.output.Write(append(data, '\n'))
	return errors.Wrap(err, "print")
}

// summary holds the numbers of entries in a valid document.
type summary struct {
	Organisations int
	Services      int
	Targets       int
}

type wireSummary struct {
	Organisations int `json:"organisations"`
	Services      int `json:"services"`
	Targets       int `json:"targets"`
}

func (m summary) table(w io.Writer) {
	fmt.Fprintf(w, "valid: %d organisations, %d services, %d targets\n", m.Organisations, m.Services, m.Targets)
}

func (m summary) encode() ([]byte, error) { return json.Marshal(wireSummary(m)) }

type differences []swdoc.Difference

type wireDifference struct {
	Kind   string `json:"kind"`
	Key    string `json:"key"`
	Before string `json:"before"`
	After  string `json:"after"`
}

func (d differences) table(w io.Writer) {
	if len(d) == 0 {
		fmt.Fprintln(w, "no differences")
	}
	for _, c := range d {
		switch c.Kind {
		case swdoc.Changed:
			fmt.Fprintf(w, "%s\t%s\t%s -> %s\n", c.Kind, c.Key, c.Before, c.After)
		default:
			fmt.Fprintf(w, "%s\t%s\t\n", c.Kind, c.Key)
		}
	}
}

func (d differences) encode() ([]byte, error) {
	wire := make([]wireDifference, 0, len(d))
	for _, c := range d {
		wire = append(wire, wireDifference{Kind: string(c.Kind), Key: c.Key, Before: c.Before, After: c.After})
	}
	return json.Marshal(wire)
}

type appliedChange swadmin.Applied

func (a appliedChange) table(w io.Writer) {
	fmt.Fprintf(w, "version %d is accepted\n", a.Version)
}

func (a appliedChange) encode() ([]byte, error) { return swadmin.EncodeApplied(swadmin.Applied(a)) }

// hostStatus prints a swadmin.Status.
type hostStatus swadmin.Status

func (h hostStatus) encode() ([]byte, error) { return swadmin.EncodeStatus(swadmin.Status(h)) }

func (h hostStatus) table(w io.Writer) {
	state := "serving"
	if h.Draining {
		state = "draining"
	}
	fmt.Fprintf(w, "host %s, zone %s, region %s, %s, document version %d\n", h.Host, h.Zone, h.Region, state, h.Version)
	fmt.Fprintln(w, "\nHOST\tZONE\tSTATE\tVERSION")
	for _, m := range h.Members {
		version := "-"
		if m.Version != 0 {
			version = fmt.Sprint(m.Version)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", m.Host, m.Zone, m.State, version)
	}
	fmt.Fprintln(w, "\nTARGET\tSERVICE\tZONE\tSTATE\tRUNNING")
	for _, t := range h.Targets {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\n", t.ID, t.Service, t.Zone, t.State, t.Running)
	}
	fmt.Fprintln(w, "\nCELL\tEPOCH\tTIER\tWAITING\tRUNNING")
	for _, c := range h.Cells {
		for _, t := range c.Tiers {
			fmt.Fprintf(w, "%s\t%d\t%s\t%d\t%d\n", c.ID, c.Epoch, t.Tier, t.Waiting, t.Running)
		}
	}
}

func (s *session) status(arguments []string) error {
	if len(arguments) != 0 {
		return usageErrorf("status takes no arguments")
	}
	c, ctx, cancel, err := s.client(s.server)
	if err != nil {
		return err
	}
	defer cancel()
	status, err := c.status(ctx)
	if err != nil {
		return err
	}
	return s.print(hostStatus(status))
}

// showDocument prints the newest document byte for byte to the output, and its
// version to the error output.
func (s *session) showDocument(arguments []string) error {
	if len(arguments) != 0 {
		return usageErrorf("document takes no arguments")
	}
	c, ctx, cancel, err := s.client(s.server)
	if err != nil {
		return err
	}
	defer cancel()
	d, err := c.document(ctx)
	if err != nil {
		return err
	}
	fmt.Fprintf(s.errorOutput, "version %d\n", d.version)
	_, err = s.output.Write(d.data)
	return errors.Wrap(err, "print")
}

// follow prints events until it is interrupted or has printed as many as -count allows.
func (s *session) follow(arguments []string) error {
	flags := s.flags("follow")
	count := flags.Int("count", 0, "end after this many events; 0 for no end")
	if err := parseFlags(flags, arguments); err != nil {
		return err
	}
	c, err := newClient(s.server, s.keys)
	if err != nil {
		return err
	}
	response, err := c.sendRequest(s.ctx, http.MethodGet, "/follow", nil)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	lines := bufio.NewScanner(response.Body)
	for printed := 0; *count == 0 || printed < *count; printed++ {
		if !lines.Scan() {
			return s.followError(lines.Err())
		}
		if err := s.printEvent(lines.Bytes()); err != nil {
			return err
		}
	}
	return nil
}

// followError returns the error for an event stream that ended with err. It
// returns nil if the operator interrupted the command.
func (s *session) followError(err error) error {
	if s.ctx.Err() != nil {
		return nil
	}
	return errors.Wrapf(errUnreachable, "the events ended: %v", err)
}

func (s *session) printEvent(line []byte) error {
	e, err := swadmin.DecodeEvent(line)
	if err != nil {
		return err
	}
	text := string(line)
	if !s.json {
		text = strings.TrimSpace(fmt.Sprintf("%10.3fs  %-8s  %s  %s", e.At.Duration().Seconds(), e.Kind, e.Subject, e.Text))
	}
	_, err = fmt.Fprintln(s.output, text)
	return errors.Wrap(err, "print")
}
