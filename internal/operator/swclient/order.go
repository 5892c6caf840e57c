package swclient

import (
	"fmt"
	"net/http"
	"net/url"

	"github.com/pkg/errors"

	"github.com/sassafraswing/sassafraswing/internal/operator/swadmin"
	"github.com/sassafraswing/sassafraswing/internal/owner/sworder"
)

// order sends an order to an engine through the daemon. The order is sent only once,
// even if the response is lost.
func (s *session) order(arguments []string) error {
	if len(arguments) == 0 || arguments[0] == "" {
		return usageErrorf("order takes a target and an order")
	}
	o, err := parseOrder(arguments[1:])
	if err != nil {
		return err
	}
	body, err := swadmin.EncodeOrder(o)
	if err != nil {
		return err
	}
	if _, err := swadmin.DecodeOrder(body); err != nil {
		return usageErrorf("%v", err)
	}
	c, ctx, cancel, err := s.client(s.server)
	if err != nil {
		return err
	}
	defer cancel()
	_, _, err = c.call(ctx, http.MethodPost, "/orders/"+url.PathEscape(arguments[0]), body)
	if errors.Is(err, errUnreachable) {
		fmt.Fprintln(s.errorOutput, "the order may have been carried out; giving it again is safe")
	}
	return err
}

// parseOrder parses an order's verb and its one or two arguments.
func parseOrder(words []string) (sworder.Order, error) {
	usage := usageErrorf("an order is load-model MODEL [VERSION], load-adapter ADAPTER [VERSION] or set-role ROLE")
	if len(words) != 2 && len(words) != 3 {
		return sworder.Order{}, usage
	}
	version := ""
	if len(words) == 3 {
		version = words[2]
	}
	switch {
	case words[0] == "load-model":
		return sworder.Order{Kind: sworder.KindLoadModel, Model: words[1], Version: version}, nil
	case words[0] == "load-adapter":
		return sworder.Order{Kind: sworder.KindLoadAdapter, Model: words[1], Version: version}, nil
	case words[0] == "set-role" && version == "":
		return sworder.Order{Kind: sworder.KindSetRole, Role: words[1]}, nil
	}
	return sworder.Order{}, usage
}
