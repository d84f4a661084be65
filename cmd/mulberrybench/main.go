// Command mulberrybench is part of mulberrylink.
package main

func main() {}
