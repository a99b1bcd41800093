package replica

// OpenDiskWithRandom is OpenDisk with a random source of the test's own.
var OpenDiskWithRandom = openDisk
