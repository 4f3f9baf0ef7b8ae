package ctl

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/godwitbend/godwitbend/internal/config"
	"github.com/godwitbend/godwitbend/internal/controlapi"
	"github.com/godwitbend/godwitbend/internal/operatorapi"
)

// columnPadding is the number of spaces between two columns.
const columnPadding = 2

// table holds rows of cells. The first row is the header.
type table [][]string

// row formats the cells with their default format.
func row(cells ...any) []string {
	texts := make([]string, len(cells))
	for i, cell := range cells {
		texts[i] = fmt.Sprint(cell)
	}
	return texts
}

func (t table) write(w io.Writer) error {
	aligned := tabwriter.NewWriter(w, 0, 0, columnPadding, ' ', tabwriter.StripEscape)
	for _, cells := range t {
		if _, err := fmt.Fprintln(aligned, strings.Join(cells, "\t")); err != nil {
			return err
		}
	}
	return aligned.Flush()
}

func recordTable(records []config.Record) table {
	t := table{row("KIND", "NAME", "REVISION", "SCHEMA", "SPEC")}
	for _, r := range records {
		t = append(t, row(r.Kind, r.Name, r.Revision, r.SchemaVersion, string(r.Spec)))
	}
	return t
}

func changeTable(reply *operatorapi.ChangeReply, key string) table {
	t := table{row("STATE", "REVISION", "OPERATION"), row(reply.State, reply.Revision, reply.OperationID)}
	if key != "" {
		t = append(t, row("KEY (shown once)"), row(key))
	}
	return t
}

func budgetTable(budgets []controlapi.BudgetStatus) table {
	t := table{row("BUDGET", "ORGANISATION", "PAID IN", "CHARGED", "RESERVED", "GRANTED", "FREE")}
	for _, b := range budgets {
		free := b.PaidIn - b.Charged - b.Reserved - b.Granted
		t = append(t, row(b.Budget, b.Organisation, b.PaidIn, b.Charged, b.Reserved, b.Granted, free))
	}
	return t
}

func requestTable(requests []controlapi.RequestStatus) table {
	t := table{row("REQUEST", "ORGANISATION", "CALLER", "SERVICE", "STATE", "ATTEMPT", "RESERVED", "CHARGED")}
	for _, r := range requests {
		t = append(t, row(r.RequestID, r.Organisation, r.Caller, r.Service, r.State, r.Attempt, r.Reserved, r.Charged))
	}
	return t
}

func upstreamTable(upstreams []operatorapi.Upstream) table {
	t := table{row("UPSTREAM", "ZONE", "KIND", "STATE", "USABLE", "AGE", "IN FLIGHT", "QUEUED", "CAPACITY", "SERVICES", "ADDRESS")}
	for _, u := range upstreams {
		names := make([]string, len(u.Services))
		for i, s := range u.Services {
			names[i] = s.Name
		}
		age := time.Duration(u.AgeMS) * time.Millisecond
		t = append(t, row(u.ID, u.Zone, u.Kind, u.State, u.Usable, age,
			u.InFlight, u.Queued, u.Capacity, strings.Join(names, ","), u.Address))
	}
	return t
}

func grantTable(grants []controlapi.GrantStatus) table {
	t := table{row("SESSION", "BUDGET", "GRANTED", "RETURNED", "CHARGED", "OUTSTANDING", "ENDED")}
	for _, g := range grants {
		t = append(t, row(g.Session, g.Budget, g.Granted, g.Returned, g.Charged, g.Outstanding, g.Ended))
	}
	return t
}

func hostTable(hosts []controlapi.HostInfo) table {
	t := table{row("HOST", "ZONE", "ADDRESS", "REVISION", "SESSION")}
	for _, h := range hosts {
		t = append(t, row(h.Host, h.Zone, h.Address, h.Revision, h.Session))
	}
	return t
}

func replicaTable(reply *operatorapi.ReplicasReply) table {
	t := table{row("REPLICA", "ADDRESS", "ROLE", "TERM", "APPLIED", "MATCH")}
	for _, r := range reply.Replicas {
		t = append(t, row(r.ID, r.Address, r.Role, r.Term, r.Applied, r.Match))
	}
	return t
}

func historyTable(history []controlapi.HistoryEntry) table {
	t := table{row("REVISION", "TIME", "KIND", "NAME", "CHANGE", "OPERATOR", "OPERATION")}
	for _, h := range history {
		change := "written"
		if h.Deleted {
			change = "deleted"
		}
		changedAt := time.UnixMilli(h.TimeMS).UTC().Format(time.RFC3339)
		t = append(t, row(h.Revision, changedAt, h.Kind, h.Name, change, h.Operator, h.OperationID))
	}
	return t
}

func statusTable(s *operatorapi.StatusReply) table {
	ready := "yes"
	if s.NotReady != "" {
		ready = "no: " + s.NotReady
	}
	leader := "none"
	for _, r := range s.Replicas {
		if r.Role == controlapi.RoleLeader {
			leader = fmt.Sprintf("replica %d, term %d", r.ID, r.Term)
		}
	}
	canLose := "unknown"
	if s.CanLose != nil {
		canLose = strconv.Itoa(*s.CanLose)
	}
	behind := 0
	for _, h := range s.Hosts {
		if h.Revision < s.Revision {
			behind++
		}
	}
	return table{
		row("answered by", s.Host),
		row("ready", ready),
		row("revision", s.Revision),
		row("active schema", s.ActiveSchema),
		row("leader", leader),
		row("replicas", len(s.Replicas)),
		row("can lose", canLose),
		row("hosts", len(s.Hosts)),
		row("hosts behind", behind),
	}
}
