// Command standin2 plays the cases 6 to 9 of the review: it starts the project's own
// program as separate processes on loopback addresses, and stands in for the platform's
// store, the endpoints and the clients.
//
//	standin2 CASE ROOT FOLDER
//
// It writes FOLDER/record.txt and exits with 1 if the case's rule was broken, 0 if it
// held, and 2 if the case couldn't run. With TROUBLE=0 it leaves the disruption out.
package main

import (
	"fmt"
	"os"
)

var cases = map[string]func(root, folder string, trouble bool) (broken bool, err error){
	"early":  runEarly,
	"forged": runForged,
	"behind": runBehind,
	"term":   runTerm,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE ROOT FOLDER")
		os.Exit(2)
	}
	broken, err := cases[os.Args[1]](os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	case broken:
		fmt.Println("the rule was broken, see record.txt")
		os.Exit(1)
	}
	fmt.Println("the rule held")
}
