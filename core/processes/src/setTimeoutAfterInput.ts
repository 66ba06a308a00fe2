// A timeout that lets input which is there already be read first. After a stall of the process, Node runs
// timers before it reads, so that answers which came in time would be taken as missing.

/** Like setTimeout, but the callback runs after one more look for input, and must tell by itself if it is too late. */
export function setTimeoutAfterInput (callback: () => void, milliseconds: number): NodeJS.Timeout {
  return setTimeout(() => { setImmediate(callback) }, milliseconds)
}
