package main

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(f *field, trouble bool) (bool, error){
	"memory":       memoryCase,
	"unconfigured": unconfiguredCase,
}
