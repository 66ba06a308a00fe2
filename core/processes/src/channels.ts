// Typed access to the part of js-csp that siskinbeam uses. A process is a generator function whose
// yields are channel operations; js-csp resumes it with the result.
import csp from 'js-csp'

/** A channel of js-csp. At most 1,024 puts may wait on it; a further one throws. */
export interface Channel<Value> {
  close: () => void
  isClosed: () => boolean
  readonly element?: Value
}

/** An operation that a process yields. */
export interface Operation { readonly operation?: never }

/** The body of a process. */
export type ProcessBody = Generator<unknown, void, any>

/** Creates a channel. Without a size, a put waits for its take. */
export function createChannel<Value> (size?: number): Channel<Value> {
  return size === undefined ? csp.chan() : csp.chan(size)
}

/** Yields the next value of the channel, or null once it is closed and empty. */
export function take<Value> (channel: Channel<Value>): Operation {
  return csp.take(channel)
}

/** Puts a value, waiting for room. */
export function put<Value> (channel: Channel<Value>, value: Value): Operation {
  return csp.put(channel, value)
}

/** Waits. */
export function sleep (milliseconds: number): Operation {
  return csp.timeout(milliseconds)
}

/** Puts a value from outside a process without waiting. */
export function offer<Value> (channel: Channel<Value>, value: Value): boolean {
  return csp.offer(channel, value)
}

/** Lets a process wait for a promise: the channel gets the outcome once, then closes. */
export function fromPromise<Value> (promise: Promise<Value>): Channel<{ ok: true, value: Value } | { ok: false, error: unknown }> {
  const channel = csp.chan(1)
  const finish = (settled: unknown): void => {
    csp.putAsync(channel, settled)
    channel.close()
  }
  promise.then(value => finish({ ok: true, value }), error => finish({ ok: false, error }))
  return channel
}

/** Starts a process without supervision. Long-lived processes are started by `superviseProcess`. */
export function startProcess (body: () => ProcessBody): void {
  csp.go(body)
}
