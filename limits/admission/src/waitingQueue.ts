// Priority queue of the requests that wait for a slot: one doubly linked list per class. Removal from the
// middle takes constant time, because guests cancel in any order.
import type { RequestEntry } from './admissionTypes.js'

interface ClassQueue {
  first?: RequestEntry
  last?: RequestEntry
  length: number
}

export interface WaitingQueue {
  classes: ClassQueue[]
  length: number
}

/** Creates an empty queue for the classes 0 (highest priority) to `classCount` - 1. */
export function createWaitingQueue (classCount: number): WaitingQueue {
  return { classes: Array.from({ length: classCount }, () => ({ length: 0 })), length: 0 }
}

const classQueueOf = (queue: WaitingQueue, entry: RequestEntry): ClassQueue => queue.classes[entry.classRank] as ClassQueue

const changeLength = (queue: WaitingQueue, list: ClassQueue, change: 1 | -1): void => {
  list.length += change
  queue.length += change
}

/** Adds a request at the tail of its class. */
export function appendEntry (queue: WaitingQueue, entry: RequestEntry): void {
  const list = classQueueOf(queue, entry)
  entry.previous = list.last
  entry.next = undefined
  if (list.last === undefined) list.first = entry
  else list.last.next = entry
  list.last = entry
  changeLength(queue, list, 1)
}

/** Adds a request at the head of its class. */
export function prependEntry (queue: WaitingQueue, entry: RequestEntry): void {
  const list = classQueueOf(queue, entry)
  entry.next = list.first
  entry.previous = undefined
  if (list.first === undefined) list.last = entry
  else list.first.previous = entry
  list.first = entry
  changeLength(queue, list, 1)
}

/** Removes a queued request. */
export function removeEntry (queue: WaitingQueue, entry: RequestEntry): void {
  const list = classQueueOf(queue, entry)
  if (entry.previous === undefined) list.first = entry.next
  else entry.previous.next = entry.next
  if (entry.next === undefined) list.last = entry.previous
  else entry.next.previous = entry.previous
  entry.previous = entry.next = undefined
  changeLength(queue, list, -1)
}

/** Returns the request that is admitted next. */
export function findFirst (queue: WaitingQueue): RequestEntry | undefined {
  return queue.classes.find(({ length }) => length > 0)?.first
}

/** Returns the request that is refused first when the queue is full. */
export function findLast (queue: WaitingQueue): RequestEntry | undefined {
  return queue.classes.findLast(({ length }) => length > 0)?.last
}

/** Counts the requests that are admitted before a new one of this class. */
export function countAhead (queue: WaitingQueue, classRank: number): number {
  return queue.classes.reduce((sum, { length }, rank) => rank <= classRank ? sum + length : sum, 0)
}

/** Lists the queued requests whose deadline has passed. */
export function listExpired (queue: WaitingQueue, now: number): RequestEntry[] {
  const expired: RequestEntry[] = []
  queue.classes.forEach(({ first }) => {
    for (let entry = first; entry !== undefined; entry = entry.next) {
      if (entry.deadlineAt <= now) expired.push(entry)
    }
  })
  return expired
}
