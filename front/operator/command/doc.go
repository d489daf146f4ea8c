// Package command holds the commands of the operators' tool that read and
// change what is in force: check, show, promote, status, key and drain.
package command
