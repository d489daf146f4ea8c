// Package operator is the way between operators and the system: the status
// page of an instance, and what the operators' tool does with it.
package operator
