// Package shiftcmd contains the commands of the operators' tool that show
// shifts and drains. Recorded decisions are read from the platform's table. The
// current state and the evidence are requested from the instances.
package shiftcmd
