package runner

// Version is the version of this program.
const Version = "0.2.0"
