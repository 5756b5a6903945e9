package event

import "go.uber.org/zap/zapcore"

// Events of configuration.
const (
	ConfigurationInForce     Number = 501
	ConfigurationAccepted    Number = 502
	ConfigurationUnreadable  Number = 503
	ConfigurationStoreLost   Number = 504
	ConfigurationStoreBack   Number = 505
	ConfigurationFromPeer    Number = 506
	ConfigurationContradicts Number = 507
	ConfigurationUnresolved  Number = 508
)

var configEvents = []Entry{
	{ConfigurationInForce, zapcore.InfoLevel, "configuration in force", "This process applies a newer version of the configuration.", "None."},
	{ConfigurationAccepted, zapcore.InfoLevel, "configuration accepted", "This entry wrote a new version of the configuration to the store.", "None; the audit log names the author."},
	{ConfigurationUnreadable, zapcore.ErrorLevel, "configuration unreadable", "The accepted document is missing or does not match its hash; the version before stays in force.", "Compare the versions of the program; submit the document again."},
	{ConfigurationStoreLost, zapcore.WarnLevel, "configuration store unreachable", "The head row of the configuration could not be read; the version in force stays.", "Check the store; the configuration cannot change until it is back."},
	{ConfigurationStoreBack, zapcore.InfoLevel, "configuration store reachable again", "The head row of the configuration was read after an outage.", "None."},
	{ConfigurationFromPeer, zapcore.InfoLevel, "configuration fetched from a peer", "The store is out of reach, and another entry had a newer version.", "None; check the store."},
	{ConfigurationContradicts, zapcore.ErrorLevel, "configuration contradicts the version in force", "Two different documents claim the same version, or the store holds a lower one than is in force.", "Check whether the store was restored from a backup; accept a version above the one in force."},
	{ConfigurationUnresolved, zapcore.WarnLevel, "outcome of a configuration change unknown", "The time for a change ended before the store said whether it took effect.", "Read the configuration and submit the change again if it is missing."},
}
