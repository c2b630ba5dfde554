package printer

import (
	"fmt"
	"time"

	"oleandercove.example/core/api"
)

// Demand returns a table with one row for each class, account and purpose of bytes between data
// centres. Accounts without an excess are left out.
func Demand(s api.RoutingState) Table {
	t := Table{Header: []string{"service", "kind", "name", "offered", "admitted", "share", "excess", "held back", "rule", "age"}}
	for _, d := range s.Demand {
		age := time.Duration(d.Age).Round(time.Millisecond)
		for _, c := range d.Classes {
			name := fmt.Sprintf("%d/%d", c.Urgency.Priority, c.Urgency.Route)
			t.addRow(d.Service, "class", name, round(c.Offered), round(c.Admitted), round(c.Offered*(1-c.Excess)), percent(c.Excess), percent(c.HeldBack), c.Rule, age)
		}
		for _, a := range d.Accounts {
			if a.Excess > 0 {
				t.addRow(d.Service, "account", fmt.Sprintf("%08x", a.Hash), round(a.Offered), round(a.Admitted), round(a.Share), percent(a.Excess), "", "", age)
			}
		}
	}
	for _, c := range s.Crossings {
		t.addRow("", "crossing", c.Purpose, fmt.Sprintf("%d B", c.Bytes), "", "", "", "", "", "")
	}
	return t
}

func round(rate float64) string { return fmt.Sprintf("%.0f", rate) }

func percent(part float64) string { return fmt.Sprintf("%.1f%%", 100*part) }
