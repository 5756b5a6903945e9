package wire

// ConfigChanged notifies an entry that a newer configuration was accepted.
type ConfigChanged struct {
	Version uint64
}

// ConfigFetch opens a stream that requests an entry's configuration, provided its version is at least AtLeast.
type ConfigFetch struct {
	AtLeast uint64
}

// ConfigDoc is the response to ConfigFetch; the document follows as the body of the stream.
type ConfigDoc struct {
	Version  uint64 // 0 when the sender has no such version
	Revision []byte // JSON of head.Revision as stored; it contains the hash of the document
}

// AgentService is the part of a service's configuration that an agent needs.
type AgentService struct {
	Name           string
	LongSlots      int64 // slots of the worker that long requests may occupy
	MaxBody        int64 // bytes
	MaxRun         int64 // maximum run time of a request, ns
	StreamGrace    int64 // time that open streams may continue when the target leaves, ns
	MaxConnections int64
}

// AgentClass is the part of a job class that an agent needs.
type AgentClass struct {
	Name            string
	MaxRunTime      int64 // ns; a task that exceeds it is stopped and fails
	CheckpointGrace int64 // time that an evicted task has for its checkpoint, ns
}

// AgentConfig is the part of the configuration that one agent needs; it replaces the previous one.
type AgentConfig struct {
	Version      uint64
	Services     []AgentService
	Classes      []AgentClass
	AgentLease   int64 // ns
	AgentRenewal int64 // interval between heartbeats that renew leases, ns
}

// ConfigApplied confirms to an entry that the agent has applied a version.
type ConfigApplied struct {
	Version uint64
}

// Kind implements Message.
func (*ConfigChanged) Kind() Kind { return KindConfigChanged }

// Kind implements Message.
func (*ConfigFetch) Kind() Kind { return KindConfigFetch }

// Kind implements Message.
func (*ConfigDoc) Kind() Kind { return KindConfigDoc }

// Kind implements Message.
func (*AgentConfig) Kind() Kind { return KindAgentConfig }

// Kind implements Message.
func (*ConfigApplied) Kind() Kind { return KindConfigApplied }

func init() {
	register(&ConfigChanged{}, &ConfigFetch{}, &ConfigDoc{}, &AgentConfig{}, &ConfigApplied{})
}
