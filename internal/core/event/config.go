package event

import "go.uber.org/zap/zapcore"

// Events of configuration.
const (
	ConfigurationInForce          Number = 501
	ConfigurationAccepted         Number = 502
	ConfigurationUnreadable       Number = 503
	ConfigurationStoreUnreachable Number = 504
	ConfigurationStoreReachable   Number = 505
	ConfigurationFromPeer         Number = 506
	ConfigurationConflict         Number = 507
	ConfigurationUnresolved       Number = 508
)

var configEvents = []Entry{
	{ConfigurationInForce, zapcore.InfoLevel, "configuration in force", "This process applies a newer version of the configuration.", "None."},
	{ConfigurationAccepted, zapcore.InfoLevel, "configuration accepted", "This entry wrote a new version of the configuration to the store.", "None; the audit log names the author."},
	{ConfigurationUnreadable, zapcore.ErrorLevel, "configuration unreadable", "The accepted document is missing or does not match its hash; the previous version stays in force.", "Check that all processes run the same version of the program; submit the document again."},
	{ConfigurationStoreUnreachable, zapcore.WarnLevel, "configuration store unreachable", "The head row of the configuration could not be read; the current version stays in force.", "Check the store; the configuration cannot change until it is available again."},
	{ConfigurationStoreReachable, zapcore.InfoLevel, "configuration store reachable again", "The head row of the configuration was read after an outage.", "None."},
	{ConfigurationFromPeer, zapcore.InfoLevel, "configuration fetched from a peer", "The store is unreachable, and another entry had a newer version.", "None; check the store."},
	{ConfigurationConflict, zapcore.ErrorLevel, "configuration conflicts with the version in force", "Two different documents have the same version, or the version in the store is lower than the one in force.", "Check whether the store was restored from a backup; submit a version higher than the one in force."},
	{ConfigurationUnresolved, zapcore.WarnLevel, "outcome of a configuration change unknown", "The deadline of a change passed before the store confirmed or refused it.", "Read the configuration and submit the change again if it is missing."},
}
