package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// configTime is config_apply_ms of the site.
const configTime = 2 * time.Second

// configCase: the two daemons that watch the store lose power, and the operator adds a route. No
// daemon in touch may refuse requests to it later than configTime.
func configCase(st *stage) (bool, error) {
	w, err := newWorker("i-00000001", "wuno96b", "127.9.0.1", 6, 24)
	if err != nil {
		return false, err
	}
	st.store.put("servers", w.id, w.entry())
	routes := []service{{name: "wuno96b", prefix: "/cufi504/", kind: "safe", timeout: 600 * time.Millisecond, aim: 100 * time.Millisecond, maxConnections: 110}}
	st.configure(routes...)
	if err := st.startDaemons(9, 0); err != nil {
		return false, err
	}
	time.Sleep(13 * time.Second)
	late := 0
	for round := range 7 {
		watching := st.store.watching(700 * time.Millisecond)
		stopped := map[string]bool{}
		if st.trouble {
			for _, d := range st.daemons {
				for _, host := range watching {
					if d.name == host && len(stopped) < 2 {
						d.signal(syscall.SIGSTOP)
						stopped[d.name] = true
					}
				}
			}
		}
		st.note("round %d: %v watch the store, dark: %v", round, watching, stopped)
		time.Sleep(50 * time.Millisecond)
		x := routes[0]
		x.prefix = fmt.Sprintf("/new%d/", round)
		routes = append(routes, x)
		st.configure(routes...)
		acked := time.Now()
		var wg sync.WaitGroup
		var mu sync.Mutex
		for _, d := range st.daemons {
			if stopped[d.name] {
				continue
			}
			wg.Go(func() {
				for i := 0; time.Since(acked) < 4*time.Second; i++ {
					a := once(d.callers(), call{id: fmt.Sprintf("%s/%d-%d", d.name, round, i), method: http.MethodGet, path: x.prefix + "x", key: key, deadline: 600 * time.Millisecond})
					if a.status == http.StatusOK {
						st.note("%s serves the route after %.3f s", d.name, a.started.Sub(acked).Seconds())
						return
					}
					if a.status == http.StatusNotFound && a.started.Sub(acked) > configTime {
						mu.Lock()
						late++
						mu.Unlock()
						st.note("%s answers 404 to a request sent %.3f s after the acknowledgement", d.name, a.started.Sub(acked).Seconds())
					}
					time.Sleep(50 * time.Millisecond)
				}
			})
		}
		time.Sleep(3500 * time.Millisecond)
		for _, d := range st.daemons {
			if stopped[d.name] {
				if err := d.restart(); err != nil {
					return false, err
				}
			}
		}
		wg.Wait()
		time.Sleep(10 * time.Second)
	}
	st.note("late refusals: %d", late)
	return late > 0, nil
}
