package process

import (
	"errors"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// errLocalBusy is returned by callLocal while an earlier call is not answered. The next
// member is asked instead.
var errLocalBusy = errors.New("process: the core here has not answered an earlier call yet")

// errNoMember answers calls of other processes while this one has no member: it is
// bootstrapping, starting anew, or stays out of the control plane. Callers go to the next one.
var errNoMember = status.Error(codes.Unavailable, "no member of the core takes part here at the moment")
