// Typed wrappers of the js-csp functions that siskinbeam uses. A process is a generator that yields channel
// operations; js-csp resumes it with their results.
import csp from 'js-csp'

/** A js-csp channel. At most 1,024 puts may be pending; another one throws. */
export interface Channel<Value> {
  close: () => void
  isClosed: () => boolean
  readonly element?: Value
}

/** An operation that a process yields. */
export interface Operation { readonly operation?: never }

/** The body of a process. */
export type ProcessBody = Generator<unknown, void, any>

/** Creates a channel with a buffer of `size` values. Without a size it is unbuffered: a put waits for its take. */
export function createChannel<Value> (size?: number): Channel<Value> {
  return size === undefined ? csp.chan() : csp.chan(size)
}

/** Takes the next value of the channel, or null if the channel is closed and empty. */
export function take<Value> (channel: Channel<Value>): Operation {
  return csp.take(channel)
}

/** Puts a value; waits while the buffer is full. */
export function put<Value> (channel: Channel<Value>, value: Value): Operation {
  return csp.put(channel, value)
}

/** Suspends the process for the given time. */
export function sleep (milliseconds: number): Operation {
  return csp.timeout(milliseconds)
}

/** Puts a value without waiting, also from outside a process; returns false if it was not accepted. */
export function offer<Value> (channel: Channel<Value>, value: Value): boolean {
  return csp.offer(channel, value)
}

/** Returns a channel that receives the outcome of a promise and is then closed, so that a process can wait for it. */
export function fromPromise<Value> (promise: Promise<Value>): Channel<{ ok: true, value: Value } | { ok: false, error: unknown }> {
  const channel = csp.chan(1)
  const putOutcome = (outcome: unknown): void => {
    csp.putAsync(channel, outcome)
    channel.close()
  }
  promise.then(value => putOutcome({ ok: true, value }), error => putOutcome({ ok: false, error }))
  return channel
}

/** Starts a process without supervision. Use `superviseProcess` for long-lived processes. */
export function startProcess (body: () => ProcessBody): void {
  csp.go(body)
}
