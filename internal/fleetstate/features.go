package fleetstate

const (
	// FeatureEvacuations is the lowest value of Features at which a host understands the log entry
	// Evacuation.
	FeatureEvacuations = 1
	// FeatureBootClocks is the lowest value of Features at which a host understands the log entry
	// BootClocks.
	FeatureBootClocks = 2
	// FeatureClockAgreement is the lowest value of Features at which a host understands the log entry
	// ClockAgreement.
	FeatureClockAgreement = 3
)

// Features is the highest kind of log entry that this build understands beyond those that all
// builds understand. Control hosts state it to each other.
const Features = FeatureClockAgreement
