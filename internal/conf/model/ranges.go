package model

// bounds are the smallest and largest allowed value of a number, or number of elements of a list.
type bounds struct {
	low  int64
	high int64
}

// ranges holds the fixed bounds of the JSON Schema, keyed by type and field. Validation repeats them next to each type,
// and TestSchemaRanges compares the two. Only validation has the bounds that depend on other fields.
var ranges = map[string]bounds{
	"Document.Teams":             {0, maxTeams},
	"Document.AvailabilityZones": {1, MaxZones},

	"Service.MaxBody":        {1, MaxBody},
	"Service.MaxConnections": {1, MaxConnections},
	"Service.LongSlotShare":  {0, 1},

	"JobClass.MaxTasks":     {1, MaxTasks},
	"JobClass.MaxAttempts":  {1, MaxAttempts},
	"TaskSize.Processors":   {1, maxProcessors},
	"TaskSize.Memory":       {1, maxMemory},
	"TaskSize.Accelerators": {0, maxAccelerators},

	"Team.Weight": {1, MaxWeight},

	"AvailabilityZone.Partitions": {1, MaxPartitions},
	"AvailabilityZone.Capacity":   {1, maxGroups},
	"WorkerGroup.Count":           {1, MaxWorkers},
	"Resources.Processors":        {1, maxWorkerProcessors},
	"Resources.Memory":            {1, maxWorkerMemory},
	"Resources.Accelerators":      {0, maxWorkerAccelerators},
	"Resources.Slots":             {0, maxSlots},
	"Resources.Connections":       {0, maxSlots},

	"Policies.RetryBudget":     {0, 1},
	"Policies.QuarantineBound": {0, 1},
}

// apply sets the bounds in the schema of a number or list. It reports whether the field is required: an absent value
// counts as zero, which a positive lower bound does not allow.
func (b bounds) apply(s *schema) bool {
	if s.Type == "array" {
		s.MaxItems = &b.high
		if b.low > 0 {
			s.MinItems = &b.low
		}
	} else {
		s.Minimum, s.Maximum = &b.low, &b.high
	}
	return b.low > 0
}
