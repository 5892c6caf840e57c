package swsettings

import (
	"net/netip"
	"net/url"
	"os"

	"github.com/pkg/errors"

	"github.com/sassafraswing/sassafraswing/internal/config/swyaml"
	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

// Defaults of keys that may be absent.
const (
	defaultMaxBody          = 4 << 20
	defaultMaxHeader        = 64 << 10
	defaultMaxConnections   = 4096
	defaultMaxHeld          = 2048
	defaultHeaderTimeout    = 5 * swclock.Second
	defaultBodyTimeout      = 30 * swclock.Second
	defaultWriteTimeout     = 30 * swclock.Second
	defaultHeartbeat        = 500 * swclock.Millis(1)
	defaultPlatformTimeout  = 2 * swclock.Second
	defaultShutdownTimeout  = 2 * swclock.Minute
	defaultLoadInterval     = 2 * swclock.Second
	maxLoadInterval         = 5 * swclock.Second
	defaultAnswerTimeout    = 5 * swclock.Minute
	defaultLogLevel         = "info"
	defaultApplyWithin      = 2 * swclock.Second
	defaultTargetHeartbeat  = swclock.Second
	defaultReregisterWithin = 2 * swclock.Second
	defaultQuotaWindow      = 8 * swclock.Second
	defaultRetryWindow      = 10 * swclock.Second
	defaultRetryRatio       = 0.1
	defaultRetryReserve     = 32
)

// Load reads and parses a settings file.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	return Parse(path, data)
}

// Parse parses and validates a settings file. Its error is a *swyaml.Error that
// lists all problems; file is the file name in them.
func Parse(file string, data []byte) (*Settings, error) {
	s := &Settings{}
	if err := swyaml.Read(file, data, func(o *swyaml.Object) { mapSettings(o, s) }); err != nil {
		return nil, err
	}
	return s, nil
}

func mapSettings(o *swyaml.Object, s *Settings) {
	s.Host = swid.HostID(o.Required("host").Name())
	s.Zone = swid.ZoneID(o.Required("zone").Name())
	s.Region = swid.RegionID(o.Required("region").Name())
	mapCaller(o.Required("caller").Object(), &s.Caller)
	mapPeer(o.Required("peer").Object(), &s.Peer)
	mapOperator(o.Required("operator").Object(), &s.Operator)
	mapPlatform(o.Required("platform").Object(), &s.Platform)
	mapOrders(o.Optional("orders").Object(), &s.Orders)
	mapLog(o.Optional("log").Object(), &s.Log)
	if fleet := o.Optional("fleet"); fleet.Present() {
		s.Fleet = &Fleet{}
		mapFleet(fleet.Object(), s.Fleet)
		if !s.Caller.TLS.Off || !s.Peer.TLS.Off || !s.Operator.TLS.Off || !s.Platform.TLS.Off {
			fleet.Fail("cannot be combined with TLS", "tls: {off: true} for callers, peers, operators and the platform")
		}
	}
	s.ShutdownTimeout = o.Optional("shutdownTimeout").Span(defaultShutdownTimeout, swclock.Second, swclock.Hour)
}

func mapCaller(o *swyaml.Object, c *Caller) {
	defer o.ReportUnknown()
	c.Address = address(o.Required("address"))
	c.TLS = mapTLS(o.Required("tls"), authorityOptional)
	c.MaxBodyBytes = o.Optional("maxBody").Size(defaultMaxBody, 1<<10, 64<<20)
	c.MaxHeaderBytes = o.Optional("maxHeader").Size(defaultMaxHeader, 4<<10, 1<<20)
	c.MaxConnections = int(o.Optional("maxConnections").Int(defaultMaxConnections, 1, 1_000_000))
	c.MaxHeld = int(o.Optional("maxHeld").Int(defaultMaxHeld, 1, 1_000_000))
	c.HeaderTimeout = o.Optional("headerTimeout").Span(defaultHeaderTimeout, 100, swclock.Minute)
	c.BodyTimeout = o.Optional("bodyTimeout").Span(defaultBodyTimeout, 100, swclock.Hour)
	c.WriteTimeout = o.Optional("writeTimeout").Span(defaultWriteTimeout, 100, swclock.Hour)
}

func mapPeer(o *swyaml.Object, p *Peer) {
	defer o.ReportUnknown()
	p.Address = address(o.Required("address"))
	p.TLS = mapTLS(o.Required("tls"), authorityRequired)
	p.Heartbeat = o.Optional("heartbeat").Span(defaultHeartbeat, 50, 10*swclock.Second)
}

func mapOperator(o *swyaml.Object, p *Operator) {
	defer o.ReportUnknown()
	p.Address = address(o.Required("address"))
	p.TLS = mapTLS(o.Required("tls"), authorityRequired)
}

func mapPlatform(o *swyaml.Object, p *Platform) {
	defer o.ReportUnknown()
	address := o.Required("url")
	p.URL = address.Text("", "an http or https URL without a path", isBaseURL)
	p.TLS = mapTLS(o.Required("tls"), authorityRequired)
	if p.URL != "" && isSecure(p.URL) == p.TLS.Off {
		address.Fail("the scheme does not match tls", "https with key files, or http with tls off")
	}
	p.Environment = o.Required("environment").Name()
	p.Timeout = o.Optional("timeout").Span(defaultPlatformTimeout, 50, swclock.Minute)
}

func mapOrders(o *swyaml.Object, r *Orders) {
	defer o.ReportUnknown()
	r.TokenFile = filePath(o.Optional("tokenFile"))
	r.LoadInterval = o.Optional("loadInterval").Span(defaultLoadInterval, 10, maxLoadInterval)
	r.AnswerTimeout = o.Optional("answerTimeout").Span(defaultAnswerTimeout, swclock.Second, swclock.Hour)
}

func mapFleet(o *swyaml.Object, f *Fleet) {
	defer o.ReportUnknown()
	f.Adapter = o.Required("adapter").Name()
	f.ReadinessAddress = address(o.Required("readiness"))
	f.ApplyWithin = o.Optional("applyWithin").Span(defaultApplyWithin, 100, swclock.Minute)
	f.RevokeWithin = o.Optional("revokeWithin").Span(0, 0, swclock.Hour)
	f.TargetHeartbeat = o.Optional("targetHeartbeat").Span(defaultTargetHeartbeat, 10, swclock.Hour)
	f.ReregisterWithin = o.Optional("returnWithin").Span(defaultReregisterWithin, 0, swclock.Minute)
	f.QuotaWindow = o.Optional("quotaWindow").Span(defaultQuotaWindow, swclock.Second, swclock.Hour)
	f.QuotaOverage = o.Optional("quotaOverage").Float(0, 0, 1)
	f.QuotaSlack = o.Optional("quotaSlack").Float(0, 0, 1e12)
	f.RetryWindow = o.Optional("retryWindow").Span(defaultRetryWindow, swclock.Second, swclock.Hour)
	f.RetryRatio = o.Optional("retryRatio").Float(defaultRetryRatio, 0, 10)
	f.RetryReserve = o.Optional("retryReserve").Float(defaultRetryReserve, 0, 1e6)
	f.ProcessorShare = o.Optional("processorShare").Float(0, 0, 1e3)
	f.Cores = o.Optional("cores").Float(1, 0, 1e3)
	f.MemoryMegabytes = o.Optional("memoryMegabytes").Float(0, 0, 1e9)
	f.FileDescriptors = int(o.Optional("fileDescriptors").Int(0, 0, 1e9))
	f.LinkMegabits = o.Optional("linkMegabits").Float(0, 0, 1e7)
	if rollout := o.Optional("rollout"); rollout.Present() {
		mapRollout(rollout.Object(), &f.Rollout)
	}
}

func mapRollout(o *swyaml.Object, r *Rollout) {
	defer o.ReportUnknown()
	r.MaxShare = o.Required("maxShare").Float(0, 0, 1)
	r.Slack = int(o.Required("slack").Int(0, 0, 1_000_000))
	r.RollbackWithin = o.Required("rollbackWithin").Span(0, 100, swclock.Hour)
}

func mapLog(o *swyaml.Object, l *Log) {
	defer o.ReportUnknown()
	l.Level = o.Optional("level").OneOf(defaultLogLevel, "debug", "info", "warn", "error")
}

// authorityRequirement says whether a TLS mapping must set authorityFile, the
// CA certificates against which the other side's certificate is verified.
type authorityRequirement bool

const (
	authorityOptional authorityRequirement = false
	authorityRequired authorityRequirement = true
)

func mapTLS(v swyaml.Value, need authorityRequirement) TLS {
	o := v.Object()
	defer o.ReportUnknown()
	t := TLS{Off: o.Optional("off").Bool(false)}
	t.CertificateFile = filePath(o.Optional("certificateFile"))
	t.KeyFile = filePath(o.Optional("keyFile"))
	t.AuthorityFile = filePath(o.Optional("authorityFile"))
	if !v.Present() {
		return t
	}
	named := t.CertificateFile != "" || t.KeyFile != "" || t.AuthorityFile != ""
	complete := t.CertificateFile != "" && t.KeyFile != "" && (t.AuthorityFile != "" || need == authorityOptional)
	if t.Off && named {
		v.Fail("off cannot be combined with the files", "off: true, or the files")
	}
	if !t.Off && !complete {
		v.Fail("files are missing", need.requiredKeys()+", or off: true")
	}
	return t
}

// requiredKeys returns the keys that must be set unless TLS is off.
func (a authorityRequirement) requiredKeys() string {
	if a == authorityRequired {
		return "certificateFile, keyFile and authorityFile"
	}
	return "certificateFile and keyFile"
}

func filePath(v swyaml.Value) string {
	return v.Text("", "the path of a file", func(s string) bool { return s != "" })
}

func address(v swyaml.Value) string {
	return v.Text("", "IP:port with a port from 1 to 65535, for example 127.0.0.1:8080", func(s string) bool {
		a, err := netip.ParseAddrPort(s)
		return err == nil && a.Port() != 0
	})
}

func isBaseURL(s string) bool {
	u, err := url.Parse(s)
	if err != nil {
		return false
	}
	plain := u.User == nil && u.RawQuery == "" && u.Fragment == "" && (u.Path == "" || u.Path == "/")
	return (u.Scheme == "http" || u.Scheme == "https") && u.Hostname() != "" && plain
}

func isSecure(s string) bool {
	u, err := url.Parse(s)
	return err == nil && u.Scheme == "https"
}
