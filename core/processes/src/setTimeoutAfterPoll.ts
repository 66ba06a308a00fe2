// A timeout that is processed after pending input. After a stall of the process, Node.js runs expired timers before
// it polls for input, so that responses which arrived in time would be treated as timed out.

/** Like setTimeout, but the callback runs after another poll for input, and must check by itself whether it is obsolete. */
export function setTimeoutAfterPoll (callback: () => void, milliseconds: number): NodeJS.Timeout {
  return setTimeout(() => { setImmediate(callback) }, milliseconds)
}
