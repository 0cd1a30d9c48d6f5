package agent

import (
	"github.com/pkg/errors"

	"bramleysail.example/bramleysail/internal/batch/sched"
)

// maxSpecs is how many specifications of jobs an agent keeps for a session.
const maxSpecs = 512

// errNoSpec means that a start refers to a specification that the agent doesn't have.
var errNoSpec = errors.New("agent: no such specification")

// specSender replaces the specification in starts by a number where the agent has it from an earlier start of the session.
// All tasks of a job have the same one, which is most of a start's size. It isn't safe for concurrent use.
type specSender struct {
	kept    uint64            // how many of the newest specifications the agent keeps; 0: none
	last    uint64            // number of the newest
	numbers map[string]uint64 // of the specifications that the agent has
	sent    []string          // the same in order of their numbers
}

// replace returns the call as it is sent.
func (s *specSender) replace(c Call) Call {
	if s.kept == 0 || c.Order == nil || c.Order.Spec == "" {
		return c
	}
	if n, ok := s.numbers[c.Order.Spec]; ok {
		o := *c.Order
		o.Spec = ""
		c.Order, c.SpecNumber = &o, n
		return c
	}
	if s.numbers == nil {
		s.numbers = map[string]uint64{}
	}
	s.last++
	c.SpecNumber = s.last
	s.numbers[c.Order.Spec] = s.last
	s.sent = append(s.sent, c.Order.Spec)
	if uint64(len(s.sent)) > s.kept {
		delete(s.numbers, s.sent[0])
		s.sent = s.sent[1:]
	}
	return c
}

// specReceiver keeps the newest maxSpecs specifications of a session. It isn't safe for concurrent use.
type specReceiver struct {
	specs map[uint64]string // by number
}

// restore returns a received order with its specification.
func (r *specReceiver) restore(c Call) (*sched.Order, error) {
	if c.SpecNumber == 0 || c.Order == nil {
		return c.Order, nil
	}
	if c.Order.Spec != "" {
		if r.specs == nil {
			r.specs = map[uint64]string{}
		}
		r.specs[c.SpecNumber] = c.Order.Spec
		delete(r.specs, c.SpecNumber-maxSpecs)
		return c.Order, nil
	}
	spec, ok := r.specs[c.SpecNumber]
	if !ok {
		return nil, errNoSpec
	}
	o := *c.Order
	o.Spec = spec
	return &o, nil
}
