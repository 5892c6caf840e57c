// Package sworigin records which software version of which service began each stream. What two
// versions write does not fit together, so a stream that breaks goes on at the version that began it, or not
// at all.
package sworigin

import (
	"crypto/sha256"
	"encoding/binary"

	"github.com/sassafraswing/sassafraswing/internal/core/swclock"
	"github.com/sassafraswing/sassafraswing/internal/core/swid"
)

// Origin is what began a stream. The zero value means that it is not known.
type Origin struct {
	// Service is not empty if the origin is known.
	Service swid.ServiceID
	Version swid.SoftwareVersion
}

// Known reports whether the origin is known.
func (o Origin) Known() bool { return o.Service != "" }

// unlistedVersion is the version of origins that no target has.
const unlistedVersion swid.SoftwareVersion = "\x00"

// Unlisted returns an origin of a service that is none of the listed ones: that of a stream which another start of a target than the
// listed one has begun. To an earlier build it is a version that no target has, so that such a stream is not continued there either.
func Unlisted(service swid.ServiceID) Origin {
	return Origin{Service: service, Version: unlistedVersion}
}

// IsUnlisted reports whether nothing is known of the origin but that it may be none of the listed ones.
func (o Origin) IsUnlisted() bool { return o.Version == unlistedVersion }

// Stream identifies a stream by a hash of the id of the caller's attempt that brought its first event. 0
// identifies none.
type Stream uint64

// StreamOf returns the stream whose first event an attempt brought, or 0 if the attempt has no id.
func StreamOf(attempt swid.RequestID) Stream {
	if attempt == "" {
		return 0
	}
	sum := sha256.Sum256([]byte(attempt))
	return Stream(binary.LittleEndian.Uint64(sum[:]) | 1)
}

// Begun is a stream that has begun.
type Begun struct {
	Stream Stream
	Origin Origin
	// Retention is the time for which its caller may take it up.
	Retention swclock.Millis
}

// Continuation says whether a request continues a stream, and which. The zero value is that of a
// request for a new stream, or for no stream.
type Continuation struct {
	// Continues is set if the caller has events of the stream.
	Continues bool
	// Stream is the stream; 0 if the caller does not say it.
	Stream Stream
	// Origin is the stream's, if the holder knows it.
	Origin Origin
}

// MaxRetention bounds the time for which the origin of a stream is kept.
const MaxRetention = swclock.Minute
