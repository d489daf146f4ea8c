// Package command contains the commands of the operators' tool that read and
// change the document in force: check, show, promote, status, key and drain.
// Commands that change it announce the new generation to all instances and wait
// until each has confirmed it or must be stale.
package command
