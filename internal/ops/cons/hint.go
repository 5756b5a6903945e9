package cons

// hints are the help texts of the inputs; a key is a type of the document and its field.
var hints = map[string]string{
	"Service.Name":            "as in /services/NAME and in the announcements of targets",
	"Service.DefaultDeadline": "for requests without a deadline, such as 2s",
	"Service.MaxDeadline":     "later deadlines are brought forward to this",
	"Service.Routes":          "where the rule by method in RFC 9110 does not fit",
	"Service.MaxBody":         "of a request, such as 1 MiB or a number of bytes",
	"Service.MaxConnections":  "open connections to one target",
	"Service.LongSlotShare":   "share of a worker's slots that long requests may hold, 0 to 1",
	"Service.LongRun":         "requests expected to run longer than this are long",
	"Service.StreamGrace":     "time that open streams get when their target leaves",
	"Route.Method":            "such as POST; empty for every method",
	"Route.Path":              "start of the path, in whole segments, such as /bookings",
	"Route.Idempotent":        "running such a request twice has the same effect as once",

	"JobClass.Name":            "as jobs name it",
	"JobClass.DefaultSize":     "of a task whose job declares no size",
	"JobClass.DefaultRunTime":  "of a task whose job declares none, such as 10m",
	"JobClass.MaxRunTime":      "a task that runs longer is stopped and fails",
	"JobClass.MaxTasks":        "of one job",
	"JobClass.MaxAttempts":     "executions before a task counts as failed; evictions are not counted",
	"JobClass.UrgentAllowed":   "jobs of this class may be urgent",
	"JobClass.CheckpointGrace": "time that an evicted task gets for its checkpoint",

	"Team.Name":       "as jobs name it",
	"Team.Weight":     "share of free capacity relative to the other teams",
	"Team.Quota":      "the most that running tasks of the team hold together",
	"Team.JobClasses": "names separated by commas; empty for all classes",

	"AvailabilityZone.Name":       "as the settings of entries and agents name it",
	"AvailabilityZone.Region":     "zones of one region are close to each other",
	"AvailabilityZone.Partitions": "parts of the task space that the zone's entries own",
	"AvailabilityZone.Neighbours": "zones whose entries take over, in this order, separated by commas",
	"AvailabilityZone.Capacity":   "groups of workers of the same size",
	"WorkerGroup.Count":           "workers",
	"WorkerGroup.Each":            "what each worker of the group has",

	"TaskSize.Processors":    "such as 2, or 0.5 for half a processor",
	"TaskSize.Memory":        "such as 2 GiB or a number of bytes",
	"TaskSize.Accelerators":  "whole accelerators",
	"Resources.Processors":   "such as 16",
	"Resources.Memory":       "such as 60 GiB or a number of bytes",
	"Resources.Accelerators": "whole accelerators",
	"Resources.Slots":        "requests in progress",
	"Resources.Connections":  "open connections, including streams",

	"Policies.AgentLease":      "how long an agent runs tasks without a renewal, such as 20s",
	"Policies.AgentRenewal":    "interval of renewals; at most a third of the agent lease",
	"Policies.OwnerLease":      "how long an owner grants leases without the store, such as 15m",
	"Policies.RetryBudget":     "retries as a share of first tries, 0 to 1",
	"Policies.QuarantineBound": "share of a zone's workers that may be quarantined, 0 to 1",
}
