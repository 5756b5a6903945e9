package main_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"trefoilramp.org/trefoilramp/internal/conf/model"
	"trefoilramp.org/trefoilramp/internal/core/event"
	"trefoilramp.org/trefoilramp/internal/ops/admin"
)

// Conditions of BenchmarkAgentControl.
const (
	idleServices = 8
	idleTasks    = 30
	idleChanges  = 9 // configuration changes during idleTime
	idleWarmUp   = 10 * time.Second
	idleTime     = time.Minute
	clockTicks   = 100 // units of /proc/PID/stat per second on Linux
)

// countingProxy forwards TCP connections and counts their bytes in both directions.
type countingProxy struct {
	listener net.Listener
	upstream atomic.Value // address
	bytes    atomic.Int64
}

func newCountingProxy(b *testing.B) *countingProxy {
	ln, err := new(net.ListenConfig).Listen(b.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	c := &countingProxy{listener: ln}
	b.Cleanup(func() { ln.Close() })
	go c.accept()
	return c
}

func (c *countingProxy) accept() {
	for {
		in, err := c.listener.Accept()
		if err != nil {
			return
		}
		address, _ := c.upstream.Load().(string)
		out, err := new(net.Dialer).DialContext(context.Background(), "tcp", address)
		if err != nil {
			in.Close()
			continue
		}
		var once sync.Once
		closeBoth := func() { in.Close(); out.Close() }
		for _, d := range [][2]net.Conn{{in, out}, {out, in}} {
			go func() {
				defer once.Do(closeBoth)
				buf := make([]byte, 32<<10)
				for {
					n, err := d[0].Read(buf)
					c.bytes.Add(int64(n))
					if _, werr := d[1].Write(buf[:n]); err != nil || werr != nil {
						return
					}
				}
			}()
		}
	}
}

// usage returns the processor time and the resident memory in bytes of a process.
func usage(b *testing.B, pid int) (cpu time.Duration, resident int64) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		b.Fatal(err)
	}
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+2:]))
	var ticks int64
	for _, f := range fields[11:13] { // utime and stime, see proc_pid_stat(5)
		n, err := strconv.ParseInt(f, 10, 64)
		if err != nil {
			b.Fatal(err)
		}
		ticks += n
	}
	pages, err := strconv.ParseInt(fields[21], 10, 64)
	if err != nil {
		b.Fatal(err)
	}
	return time.Duration(ticks) * time.Second / clockTicks, pages * int64(os.Getpagesize())
}

// BenchmarkAgentControl measures processor time, memory and control traffic of an agent with 30 tasks, 8 services and 9
// configuration changes per minute, without requests.
func BenchmarkAgentControl(b *testing.B) {
	p := &basicCluster{deployment: newDeployment(b)}
	_, l := p.start("store", event.StandInStarted, object{"Address": "127.0.0.1:0"}, "standin", "store")
	p.store = "http://" + l.Address
	c := newCountingProxy(b)
	_, l = p.start("entry", event.ProcessStarted, object{
		"Name": "entry", "AvailabilityZone": processZone, "Callers": "127.0.0.1:0", "Administration": "127.0.0.1:0",
		"Sessions": "127.0.0.1:0", "Advertise": c.listener.Addr().String(), "Store": p.store,
		"Key": secretOf(processKey), "ReadToken": secretOf(readToken), "ChangeToken": secretOf(changeToken),
	}, "entry")
	c.upstream.Store(l.Listening) // differs from the advertised address
	api := admin.NewClient("http://"+l.Administration, changeToken, "test", nil)
	p.session = c.listener.Addr().String()
	d := model.Default()
	d.AvailabilityZones[0].Name = processZone
	d.Services = nil
	for i := range idleServices {
		d.Services = append(d.Services, model.DefaultService(fmt.Sprintf("service-%d", i)))
	}
	apply(b, api, 0, d)
	agent := startIdleAgent(p)
	job := fmt.Sprintf(`{"Job":"idle","Team":"team-1","Class":"standard","Command":"run=1h","Tasks":%d,
		"Size":{"Processors":100,"Memory":1000000}}`, idleTasks)
	if _, err := api.Submit(b.Context(), []byte(job)); err != nil {
		b.Fatal(err)
	}
	p.await("all tasks run", func() bool {
		j, err := api.Job(b.Context(), "idle")
		return err == nil && j.Running == idleTasks
	})
	time.Sleep(idleWarmUp)
	cpu0, _ := usage(b, agent.cmd.Process.Pid)
	bytes0, start := c.bytes.Load(), time.Now()
	for i := range idleChanges {
		d.Services[0].DefaultDeadline = model.Duration(time.Second + time.Duration(i)*time.Millisecond)
		apply(b, api, uint64(i)+1, d)
		time.Sleep(idleTime / idleChanges)
	}
	took := time.Since(start)
	cpu, resident := usage(b, agent.cmd.Process.Pid)
	b.ReportMetric(100*(cpu-cpu0).Seconds()/took.Seconds(), "%core")
	b.ReportMetric(float64(resident)/1e6, "MB-resident")
	b.ReportMetric(float64(c.bytes.Load()-bytes0)/took.Seconds(), "control-B/s")
}

// startIdleAgent starts a worker, its agent and the targets of all services, and returns the agent.
func startIdleAgent(p *basicCluster) *process {
	_, l := p.start("worker", event.StandInStarted, object{
		"Worker": "w1", "AvailabilityZone": processZone, "Rack": "rack-1", "Address": "127.0.0.1:0", "Store": p.store,
		"Total": object{"Processors": 16000, "Memory": int64(60e9), "Slots": 64, "Connections": 512}, "Lag": "500ms",
	}, "standin", "worker")
	a, al := p.start("agent", event.ProcessStarted, object{
		"Name": "w1", "AvailabilityZone": processZone, "Rack": "rack-1", "Announcements": "127.0.0.1:0",
		"Balancer": p.session, "Worker": "http://" + l.Address, "Key": secretOf(processKey),
	}, "agent")
	for i := range idleServices {
		p.start(fmt.Sprintf("target-%d", i), event.StandInStarted, object{
			"Target": fmt.Sprintf("target-%d", i), "Service": fmt.Sprintf("service-%d", i), "Address": "127.0.0.1:0",
			"Agent": "http://" + al.Announcements, "Slots": 8, "Connections": 64,
		}, "standin", "target")
	}
	return a
}

func apply(b *testing.B, api *admin.Client, base uint64, d model.Document) {
	doc, err := json.Marshal(d)
	if err != nil {
		b.Fatal(err)
	}
	if _, err := api.Apply(b.Context(), base, doc); err != nil {
		b.Fatal(err)
	}
}
