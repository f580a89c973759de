package feed

import (
	"net"

	"github.com/hashicorp/go-hclog"

	"geraniumpass/core"
	"geraniumpass/plan"
	"geraniumpass/view"
)

// agent is the agent beside an instance of a group.
type agent struct {
	address string
	domain  string
	// start is the incarnation of the instance.
	start core.Start
}

// agentsOf returns the agents of all services whose instances form groups. Agents beside instances that
// leave are included, since they go on observing their group.
func agentsOf(s *view.Snapshot, port string, log hclog.Logger) []agent {
	if s.Table == nil {
		return nil
	}
	var out []agent
	for _, in := range s.Instances {
		if !formsGroups(s.Table.Service(in.Service)) {
			continue
		}
		host, _, err := net.SplitHostPort(in.Address)
		if err != nil {
			log.Error("instance address has no port", "instance", in.ID, "address", in.Address)
			continue
		}
		out = append(out, agent{
			address: net.JoinHostPort(host, port),
			domain:  in.Domain,
			start:   in.Start(),
		})
	}
	return out
}

func formsGroups(s *plan.Service) bool {
	return s != nil && s.Engine != nil && s.Engine.Sets > 0
}
