package metric

import "time"

//go:generate go run golang.org/x/tools/cmd/stringer@v0.52.0 -type Kind -output kind_string.go

// Kind is the kind of a metric.
type Kind uint8

// Kinds of metrics.
const (
	Counter Kind = iota + 1
	Gauge
	Histogram // of durations
)

// Name identifies a metric.
type Name string

// Entry describes a metric in the catalogue.
type Entry struct {
	Name    Name
	Kind    Kind
	Tags    []string
	Meaning string // includes the unit
}

// Names of all metrics.
const (
	Requests       Name = "serve_requests"
	RequestSeconds Name = "serve_request_seconds"
	InFlight       Name = "serve_in_flight"
	Retries        Name = "serve_retries"
	Relayed        Name = "serve_relayed"
	Targets        Name = "serve_targets"
	Sessions       Name = "sessions"
	TaskStarts     Name = "batch_task_starts"
	TaskEnds       Name = "batch_task_ends"
	TasksQueued    Name = "batch_tasks_queued"
	TasksRunning   Name = "batch_tasks_running"
	Evictions      Name = "batch_evictions"
	Takeovers      Name = "batch_takeovers"
	Quarantined    Name = "batch_quarantined_workers"
	StoreCalls     Name = "store_calls"
	StoreSeconds   Name = "store_call_seconds"
	ConfigReads    Name = "config_reads"
	ConfigVersion  Name = "config_version"
	ConfigLowest   Name = "config_lowest_version"
	ConfigChanges  Name = "config_changes"
	AdminRequests  Name = "admin_requests"
	JobsSubmitted  Name = "jobs_taken"
	JobsEnded      Name = "jobs_ended"
	JobSeconds     Name = "job_seconds"
	RunsStarted    Name = "runs_ordered"
	RunsEnded      Name = "runs_ended"
	ReleasedRuns   Name = "runs_found_after_release"
	JobsBegun      Name = "jobs_begun"
	JobsMovedUp    Name = "jobs_moved_up"
	JobsWaiting    Name = "jobs_waiting_to_begin"
	StartSeconds   Name = "job_start_seconds"
	CellTakeovers  Name = "cell_terms"
	ZonesEvacuated Name = "zones_evacuated"
	StartsWithheld Name = "starts_withheld"
	JobsTurnedAway Name = "jobs_turned_away"
	ForecastAge    Name = "forecast_age"
	LogDropped     Name = "log_lines_dropped"
	LogSuppressed  Name = "log_lines_suppressed"
	WorkerCalls    Name = "worker_calls"
	WorkerSeconds  Name = "worker_call_seconds"
	WorkerOpen     Name = "worker_calls_open"
	WorkerOldest   Name = "worker_oldest_call_age"
	WorkerWaiting  Name = "worker_calls_waiting"
	WorkerWait     Name = "worker_oldest_waiting_age"
	ConfirmSeconds Name = "run_confirm_seconds"

	ClientsTurnedAway Name = "clients_turned_away"
	ClientConnections Name = "client_connections"
	ClientBytes       Name = "client_bytes"
)

var catalogue = []Entry{
	{Requests, Counter, []string{"service", "outcome"}, "Client requests that ended, by Trefoilramp-Outcome."},
	{RequestSeconds, Histogram, []string{"service"}, "Time from the arrival of a request to the end of its response, in seconds."},
	{InFlight, Gauge, []string{"service"}, "Client requests in progress."},
	{Retries, Counter, []string{"service"}, "Requests that were sent to another target after the first attempt."},
	{Relayed, Counter, []string{"service"}, "Requests that were relayed to an entry of another zone."},
	{Targets, Gauge, []string{"service"}, "Targets that accept new requests."},
	{Sessions, Gauge, []string{"role"}, "Open sessions by role of the peer."},
	{TaskStarts, Counter, nil, "Task attempts whose start was recorded durably."},
	{TaskEnds, Counter, []string{"state"}, "Task attempts that ended, by final state."},
	{TasksQueued, Gauge, nil, "Queued tasks in the partitions of this entry."},
	{TasksRunning, Gauge, nil, "Running tasks in the partitions of this entry."},
	{Evictions, Counter, nil, "Evicted tasks that returned to the queue with a checkpoint."},
	{Takeovers, Counter, nil, "Partitions that this entry took over."},
	{Quarantined, Gauge, []string{"zone"}, "Workers in quarantine."},
	{StoreCalls, Counter, []string{"call", "outcome"}, "Requests to the store."},
	{StoreSeconds, Histogram, []string{"call"}, "Time of a request to the store, in seconds."},
	{ConfigReads, Counter, []string{"call", "outcome"}, "Requests to the store for the configuration of queues."},
	{ConfigVersion, Gauge, nil, "Version of the configuration in force in this process."},
	{ConfigLowest, Gauge, []string{"zone"}, "Lowest configuration version that a known process of the zone applies."},
	{ConfigChanges, Counter, []string{"outcome"}, "Submitted configurations, by HTTP status of the response."},
	{AdminRequests, Counter, []string{"method", "status"}, "Requests to the administration API."},
	{JobsSubmitted, Counter, []string{"verdict"}, "Submitted jobs of steps, by verdict."},
	{JobsEnded, Counter, []string{"state"}, "Jobs of steps that reached a final state under this leader."},
	{JobSeconds, Histogram, []string{"state"}, "Time from the acceptance of a job of steps to its final state, in seconds."},
	{RunsStarted, Counter, nil, "Runs that this leader commanded workers to start."},
	{RunsEnded, Counter, []string{"cause"}, "Ended runs that workers reported to this leader, by cause."},
	{ReleasedRuns, Counter, nil, "Runs that a worker listed after this leader had released them."},
	{JobsBegun, Counter, []string{"reason"}, "Jobs of steps whose first run this leader started while the jobs that may begin are limited, by why they may begin: Room, First, MovedUp, Large or Unused."},
	{JobsMovedUp, Counter, nil, "Jobs of steps that this leader moved up after 30 s without a run."},
	{JobsWaiting, Gauge, nil, "Jobs of steps without a schedule that have had no run; 0 on an entry that does not lead."},
	{StartSeconds, Histogram, nil, "Time from the acceptance of a job of steps to its first run, in seconds."},
	{CellTakeovers, Counter, nil, "Cells that this entry took over."},
	{ZonesEvacuated, Gauge, nil, "Evacuated zones that this entry, as the leader, has read; 0 for other entries."},
	{StartsWithheld, Counter, nil, "Steps of jobs that had to wait because of an evacuation, or because evacuations could not be read; each counts once until its tasks start."},
	{JobsTurnedAway, Counter, []string{"reason"}, "Submitted jobs of steps that admission control rejected, by reason: Backlog or Returning."},
	{ForecastAge, Gauge, nil, "Age of the forecast by which this entry admits jobs, in seconds; -1 without one, and 0 while admission control is off."},
	{LogDropped, Gauge, nil, "Log lines dropped because the log queue was full or writing failed."},
	{LogSuppressed, Gauge, nil, "Log lines not written because there were more than 1,000 of the same message in a second."},
	{WorkerCalls, Counter, []string{"kind", "outcome"}, "Calls of this agent to its worker, by kind (Poll, Start, Stop or Pace) and outcome: done, refused, or failed if the outcome is unknown."},
	{WorkerSeconds, Histogram, []string{"kind"}, "Time of a call of this agent to its worker, in seconds."},
	{WorkerOpen, Gauge, []string{"kind"}, "Calls of this agent that its worker has not answered yet."},
	{WorkerOldest, Gauge, []string{"kind"}, "Age of the oldest call that the worker has not answered yet, in seconds; 0 without one."},
	{WorkerWaiting, Gauge, []string{"kind"}, "Commands of the leader that wait for a call to the worker, or for their repetition."},
	{WorkerWait, Gauge, []string{"kind"}, "Time since the oldest command that waits was received, in seconds; 0 without one."},
	{ConfirmSeconds, Histogram, nil, "Time from the command to start a run until a report shows that it has begun, in seconds."},
	{ClientsTurnedAway, Counter, []string{"reason", "listener"}, "Connections closed and requests refused for a limit for clients, by limit and listener."},
	{ClientConnections, Gauge, nil, "Open connections of clients, with those to the listener of sessions before their handshake has ended."},
	{ClientBytes, Gauge, nil, "Bytes that requests and responses in progress may use."},
}

// Catalogue returns all metrics in the order of the documentation.
func Catalogue() []Entry { return append([]Entry(nil), catalogue...) }

// bucketBounds are the upper limits of the histogram buckets; they are dense below the deadlines of requests.
var bucketBounds = []time.Duration{
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond,
	50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond, time.Second,
	2 * time.Second, 5 * time.Second, 10 * time.Second, 30 * time.Second, time.Minute,
}
