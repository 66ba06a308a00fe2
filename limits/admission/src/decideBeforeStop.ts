// Decides whether a host that shuts down may still send a request to a server. While the host listens, guests have not learned of
// the stop yet, and the rest of the grace period is long enough for usual requests. After that, a request is sent only if it ends
// before the stop in any case; otherwise it is better off at another host at once than cut off while a server runs it.

export interface DecideBeforeStopOptions {
  now: number
  /** Until when the host accepts connections, in milliseconds of the monotonic clock; Infinity if it does not shut down. */
  listensUntil: number
  /** When the host closes its connections, on the same clock; Infinity if it does not shut down. */
  stopsAt: number
  /** Deadline of the request, on the same clock. */
  deadlineAt: number
}

/** Returns whether the request may be sent. */
export function decideBeforeStop ({ now, listensUntil, stopsAt, deadlineAt }: DecideBeforeStopOptions): boolean {
  return now <= listensUntil || deadlineAt <= stopsAt
}
