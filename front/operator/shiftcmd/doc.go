// Package shiftcmd is the part of the operators' tool that tells of shifts and
// drains. What was decided comes from the platform's table; what each instance
// does now and the evidence come from the instances.
package shiftcmd
