package swholder

import (
	"io"
	"syscall"
	"testing"

	"github.com/pkg/errors"

	"github.com/sassafraswing/sassafraswing/internal/core/swcell"
	"github.com/sassafraswing/sassafraswing/internal/core/swlife"
	"github.com/sassafraswing/sassafraswing/internal/target/swtarget"
)

// TestEndedBy guards against logs that do not tell an answer that its target broke off from one that the host gave up.
func TestEndedBy(t *testing.T) {
	failure := func(f swtarget.Failure, err error) error { return &swtarget.Error{Failure: f, Err: err} }
	tests := []struct {
		name  string
		err   error
		ended swlife.AttemptEnded
		want  Ender
	}{
		{"answered", nil, swlife.AttemptEnded{Result: swcell.ResultAnswered}, EndedByTarget},
		{"broken off", failure(swtarget.FailureBroken, io.ErrUnexpectedEOF), swlife.AttemptEnded{Result: swcell.ResultBroken}, EndedByTarget},
		{"reset", failure(swtarget.FailureBroken, syscall.ECONNRESET), swlife.AttemptEnded{Result: swcell.ResultBroken}, EndedByTarget},
		{"keep-alive without an answer", failure(swtarget.FailureBroken, errors.Wrap(syscall.ETIMEDOUT, "read")), swlife.AttemptEnded{Result: swcell.ResultBroken}, EndedByHost},
		{"given up", failure(swtarget.FailureStalled, nil), swlife.AttemptEnded{Result: swcell.ResultNoAnswer}, EndedByHost},
		{"deadline", &holderCancelError{}, swlife.AttemptEnded{Result: swcell.ResultCancelled, Cause: swlife.CauseDeadline}, EndedByHost},
		{"caller gone", io.EOF, swlife.AttemptEnded{Result: swcell.ResultCancelled, Cause: swlife.CauseCallerGone}, EndedByCaller},
	}
	for _, e := range tests {
		t.Run(e.name, func(t *testing.T) {
			if got := (&attempt{err: e.err}).endedBy(e.ended); got != e.want {
				t.Errorf("ended by %s, want %s", got, e.want)
			}
		})
	}
}
