// Package operator connects operators to the system. It has the status and head
// endpoints of an instance's operator listener, and the operations that the
// operators' tool builds on: listing instances, editing the document in force,
// and waiting until every instance has confirmed a promotion.
package operator
