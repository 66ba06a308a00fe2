// The requests that wait for a slot, one linked list per class. Removal from the middle takes constant
// time, because guests cancel in any order.
import type { Entry } from './admissionTypes.js'

interface ClassList {
  first?: Entry
  last?: Entry
  length: number
}

export interface WaitingQueue {
  classes: ClassList[]
  length: number
}

/** Creates an empty queue for classes 0 (most important) to `classCount` - 1. */
export function createWaitingQueue (classCount: number): WaitingQueue {
  return { classes: Array.from({ length: classCount }, () => ({ length: 0 })), length: 0 }
}

const listOf = (queue: WaitingQueue, entry: Entry): ClassList => queue.classes[entry.classRank] as ClassList

const count = (queue: WaitingQueue, list: ClassList, change: 1 | -1): void => {
  list.length += change
  queue.length += change
}

/** Adds a request behind the others of its class. */
export function appendEntry (queue: WaitingQueue, entry: Entry): void {
  const list = listOf(queue, entry)
  entry.previous = list.last
  entry.next = undefined
  if (list.last === undefined) list.first = entry
  else list.last.next = entry
  list.last = entry
  count(queue, list, 1)
}

/** Adds a request in front of the others of its class. */
export function prependEntry (queue: WaitingQueue, entry: Entry): void {
  const list = listOf(queue, entry)
  entry.next = list.first
  entry.previous = undefined
  if (list.first === undefined) list.last = entry
  else list.first.previous = entry
  list.first = entry
  count(queue, list, 1)
}

/** Removes a request that waits. */
export function removeEntry (queue: WaitingQueue, entry: Entry): void {
  const list = listOf(queue, entry)
  if (entry.previous === undefined) list.first = entry.next
  else entry.previous.next = entry.next
  if (entry.next === undefined) list.last = entry.previous
  else entry.next.previous = entry.previous
  entry.previous = entry.next = undefined
  count(queue, list, -1)
}

/** The request that is admitted next. */
export function findFirst (queue: WaitingQueue): Entry | undefined {
  return queue.classes.find(({ length }) => length > 0)?.first
}

/** The request that is given up first when the queue is full. */
export function findLast (queue: WaitingQueue): Entry | undefined {
  return queue.classes.findLast(({ length }) => length > 0)?.last
}

/** The number of requests that are admitted before a new one of this class. */
export function countAhead (queue: WaitingQueue, classRank: number): number {
  return queue.classes.reduce((sum, { length }, rank) => rank <= classRank ? sum + length : sum, 0)
}

/** Lists the waiting requests whose deadline has passed. */
export function listExpired (queue: WaitingQueue, now: number): Entry[] {
  const expired: Entry[] = []
  queue.classes.forEach(({ first }) => {
    for (let entry = first; entry !== undefined; entry = entry.next) {
      if (entry.deadlineAt <= now) expired.push(entry)
    }
  })
  return expired
}
