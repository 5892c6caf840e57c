package swclient

import (
	"bytes"
	"fmt"
	"io"
	"net/http"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/operator/swadmin"
)

// hostRollouts prints the roll-outs of several hosts.
type hostRollouts []swadmin.HostRollouts

// rollouts shows the roll-outs that the given hosts decide, or those of -server. A host that gives no answer hides no other.
func (s *session) rollouts(arguments []string) error {
	servers := arguments
	if len(servers) == 0 {
		servers = []string{s.server}
	}
	var found hostRollouts
	var failure error
	for _, server := range servers {
		h, err := s.rolloutsOf(server)
		if err != nil {
			if len(servers) == 1 {
				return err
			}
			fmt.Fprintf(s.errorOutput, "%s: %v\n", server, err)
			failure = err
			continue
		}
		found = append(found, h)
	}
	if err := s.print(found); err != nil {
		return err
	}
	return failure
}

func (s *session) rolloutsOf(server string) (swadmin.HostRollouts, error) {
	c, ctx, cancel, err := s.client(server)
	if err != nil {
		return swadmin.HostRollouts{}, err
	}
	defer cancel()
	_, data, err := c.call(ctx, http.MethodGet, swadmin.RolloutsPath, nil)
	if err != nil {
		return swadmin.HostRollouts{}, err
	}
	return swadmin.DecodeRollouts(data)
}

// encode returns a JSON line for each host.
func (l hostRollouts) encode() ([]byte, error) {
	lines := make([][]byte, len(l))
	for i, h := range l {
		line, err := swadmin.EncodeRollouts(h)
		if err != nil {
			return nil, err
		}
		lines[i] = line
	}
	return bytes.Join(lines, []byte("\n")), nil
}

func (l hostRollouts) table(w io.Writer) {
	count := 0
	for _, h := range l {
		for _, r := range h.Rollouts {
			if count > 0 {
				fmt.Fprintln(w)
			}
			count++
			printRollout(w, h, r)
		}
	}
	if count == 0 {
		fmt.Fprintln(w, "no roll-outs; only the owner of a service's cell knows them")
	}
}

func printRollout(w io.Writer, h swadmin.HostRollouts, r swadmin.RolloutStatus) {
	moving := ""
	if r.Moving {
		moving = ", traffic is moving"
	}
	fmt.Fprintf(w, "%s to %s: %s, verdict %s (%s)%s, decided by %s\n", r.Service, r.To, r.State, r.Verdict, r.Reason, moving, h.Host)
	fmt.Fprintf(w, "order %s, %s\n", r.Order, deadline(r.Remaining))
	fmt.Fprintf(w, "requests %d, exposure %d used by this owner, %d reserved, %d allowed\n", r.Requests, r.Used, r.Reserved, r.Allowed)
	fmt.Fprintln(w, "\nROUTE\tVERSION\tANSWERS\tBAD\tSLOW")
	for _, e := range r.Routes {
		fmt.Fprintf(w, "%s\told\t%d\t%d\t%d\n", e.Route, e.Old.Answers, e.Old.Bad, e.Old.Slow)
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\n", e.Route, r.To, e.New.Answers, e.New.Bad, e.New.Slow)
	}
}

func deadline(remaining swclock.Millis) string {
	if remaining < 0 {
		return fmt.Sprintf("deadline %.1fs ago", (-remaining).Duration().Seconds())
	}
	return fmt.Sprintf("deadline in %.1fs", remaining.Duration().Seconds())
}
