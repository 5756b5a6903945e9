package event

import "go.uber.org/zap/zapcore"

// Events of configuration.
const (
	ConfigurationInForce Number = 501
)

var configEvents = []Entry{
	{ConfigurationInForce, zapcore.InfoLevel, "configuration in force", "This process applies a newer version of the configuration.", "None."},
}
